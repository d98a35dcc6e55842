import {type LinkConnection} from './link-connection.js';

/** A listening socket for links, with its open connections. */
export type LinkListener = {
	/** TCP port in use, also when port 0 was asked for. */
	readonly port: number;
	readonly connections: ReadonlySet<LinkConnection>;
	/** Stops listening, closes each link after its pending messages have been written, and after `timeoutMs` milliseconds at the latest. */
	drain(timeoutMs: number): Promise<void>;
	/** Stops listening and closes every link at once. */
	close(): Promise<void>;
};
