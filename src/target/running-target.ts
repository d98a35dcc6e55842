import {type MessageOf} from '../link/message-of.js';

type TargetStatus = {
	readonly id: string;
	readonly service: string;
	readonly state: string;
	readonly incarnation: string;
	readonly tableVersion: number;
	readonly load: MessageOf<'load'>['load'];
	readonly links: number;
};

/** A target process that has started. */
export type RunningTarget = {
	readonly linkPort: number;
	readonly adminPort: number;
	readonly incarnation: string;
	/** Document of `/status`. */
	readonly getStatus: () => TargetStatus;
	/** Resolves once the target has stopped, by order or by `stop`. */
	readonly stopped: Promise<void>;
	/** Planned stop: takes nothing new, ends what runs, then closes. */
	stop(): Promise<void>;
	/** Ends at once, as a crash would. */
	kill(): Promise<void>;
};
