import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ReadAhead} from './read-ahead.js';
import {type RequestMemory} from './request-memory.js';

/** A request of a caller, as its connection delivers it. */
export type CallerRequest = {
	readonly incoming: IncomingMessage;
	/** What has been read of the body while the request waited; undefined if it did not wait. */
	readonly readAhead: ReadAhead | undefined;
	readonly response: ServerResponse;
	/** Milliseconds, on the server's clock; the request may have waited for earlier ones on its connection since. */
	readonly arrivedAt: number;
	/** Whether the connection may stay open after the answer; must be asked once, before the head of the answer is written. */
	readonly mayKeepAlive: () => boolean;
	readonly memory: RequestMemory;
	/** Aborted with a problem when nothing more can be read from the caller. */
	readonly inputFailure: AbortSignal;
	/** Aborted when the connection closes before the answer is complete; its reason is who has closed it, `caller` or `entry`. */
	readonly disconnection: AbortController;
};
