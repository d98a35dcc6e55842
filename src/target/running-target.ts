import {type MessageOf} from '../link/message-of.js';

/** Document of `/status`, encoded as JSON. */
type TargetStatus = {
	readonly id: string;
	readonly service: string;
	readonly state: string;
	readonly incarnation: string;
	readonly tableVersion: number;
	readonly load: MessageOf<'load'>['load'];
	readonly links: number;
};

/** Handle of a started target process. */
export type RunningTarget = {
	readonly linkPort: number;
	readonly adminPort: number;
	readonly incarnation: string;
	/** Makes the document of `/status`. */
	readonly getStatus: () => TargetStatus;
	/** Resolves once the target has stopped, after a `stop` message or a call of `stop`. */
	readonly stopped: Promise<void>;
	/** Planned stop: accepts no new requests, lets the running ones end, then closes. */
	stop(): Promise<void>;
	/** Stops at once without draining, as a crash would. */
	kill(): Promise<void>;
};
