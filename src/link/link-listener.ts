import {type LinkConnection} from './link-connection.js';

/** A listening socket for links and the connections it has accepted. */
export type LinkListener = {
	/** TCP port in use, also when port 0 was asked for. */
	readonly port: number;
	readonly connections: ReadonlySet<LinkConnection>;
	/** Closes each link after what was sent has left, or after `timeoutMs` milliseconds. */
	drain(timeoutMs: number): Promise<void>;
	/** Cuts every link. */
	close(): Promise<void>;
};
