import {type IncomingHttpHeaders} from 'node:http';
import {type Target} from '../../src/fleet/target.js';

type Manner = 'answer' | 'fail' | 'refuse' | 'unsigned' | 'wrong-id' | 'cut' | 'unframed' | 'unframed-reset' | 'extra' | 'late-refusal' | 'forget' | 'reset' | 'silent' | 'slow';

/** A running stand-in target. */
export type HttpTarget = {
	readonly target: Target;
	/** What it has run, in order. */
	readonly runs: Array<{readonly id: string; readonly method: string; readonly path: string; readonly headers: IncomingHttpHeaders; readonly body: string}>;
	/** Ids of requests whose connection was closed before the answer's end. */
	readonly cuts: string[];
	/** How it deals with the next requests; rightly when there is nothing in line. */
	readonly manners: Manner[];
	/** How many requests have reached it, run or not. */
	arrivals: number;
	/** Crashes as it runs a request whose path holds this; undefined where none does. */
	crashingPath: string | undefined;
	/** Whether it has crashed. */
	hasCrashed: boolean;
	/** Turns everything away so; undefined while it serves. */
	refusal: {readonly status: number; readonly headers: Readonly<Record<string, string>>} | undefined;
	/** What all its answers say of it beside what is said of the request. */
	extraHeaders: Readonly<Record<string, string>>;
	/** Lets the slow answer go. */
	release(): void;
	close(): void;
};
