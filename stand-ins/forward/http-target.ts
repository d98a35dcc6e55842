import {type IncomingHttpHeaders} from 'node:http';
import {type Target} from '../../src/fleet/target.js';
import {type Cut} from './write-cut-answer.js';
import {type writeEndlessAnswer} from './write-endless-answer.js';
import {type writeLargeAnswer} from './write-large-answer.js';

type Behaviour = 'answer' | 'fail' | 'refuse' | 'unsigned' | 'wrong-id' | 'cut' | 'unframed' | 'unframed-reset' | 'unframed-cut' | 'unframed-line'
	| 'extra' | 'late-refusal' | 'late-unnamed-refusal' | 'unnamed-refusal' | 'forget' | 'reset' | 'silent' | 'slow' | 'large'
	| `endless ${Parameters<typeof writeEndlessAnswer>[1]}` | `large ${Parameters<typeof writeLargeAnswer>[1]}`;

/** A running stand-in target. */
export type HttpTarget = {
	readonly target: Target;
	/** The requests that it ran, in order. */
	readonly runs: Array<{readonly id: string; readonly method: string; readonly path: string; readonly headers: IncomingHttpHeaders; readonly body: string}>;
	/** Ids of requests whose connection was closed before the end of the answer. */
	readonly abortedRequests: string[];
	/** Behaviours for the next requests, in order; requests beyond the list are answered correctly. */
	readonly behaviours: Behaviour[];
	/** Number of requests that arrived, whether they ran or not. */
	arrivals: number;
	/** Number of answers that have left the target completely. */
	finishedAnswers: number;
	/** The target crashes when it runs a request whose path contains this text; undefined for no crash. */
	crashingPath: string | undefined;
	hasCrashed: boolean;
	/** Status and headers with which it refuses every request; undefined while it serves. */
	refusal: {readonly status: number; readonly headers: Readonly<Record<string, string>>} | undefined;
	/** Headers about the target itself, added to its answers. */
	extraHeaders: Readonly<Record<string, string>>;
	/** Where the next answer is cut; undefined once it was. */
	cut: Cut | undefined;
	/** Bytes of the latest answer that was cut. */
	cutBytes: number;
	/** Body of the latest answer with behaviour `large`. */
	largeBody: string;
	/** Sends the rest of the oldest answer with behaviour `slow`. */
	releaseAnswer(): void;
	close(): void;
};
