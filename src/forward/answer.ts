import {type Buffer} from 'node:buffer';
import {type RawHeaders} from './raw-headers.js';

/** A target's complete answer. */
export type Answer = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** Parts of the body, in order; not joined, which would take twice the memory. */
	readonly body: readonly Buffer[];
};
