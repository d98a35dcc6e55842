import {type Target} from '../fleet/target.js';
import {type AnswerMetadata} from './answer-metadata.js';

/** What is told of what targets send, beside the outcome of each send. */
export type TransportListener = {
	/**
	 * Told of the head of each answer that comes on a target's connection, whichever request it belongs to.
	 *
	 * @param sentAt - when the request was sent that the answer was waited for, milliseconds
	 */
	readonly onHead: (target: Target, marks: AnswerMetadata, sentAt: number) => void;
	/** Told of each piece of an answer that a target sends. */
	readonly onProgress: (target: Target) => void;
	/** Told of the time between two events of a stream, milliseconds. */
	readonly onGap: (target: Target, gapMs: number) => void;
};
