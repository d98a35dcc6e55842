import {type Target} from '../fleet/target.js';
import {type AnswerMetadata} from './answer-metadata.js';

/** Callbacks for what targets send, beside the outcome of each attempt. */
export type TransportListener = {
	/**
	 * Called for the head of each answer received on a target's connection, whichever request it belongs to.
	 *
	 * @param sentAt - when the request that waited for the answer was sent, milliseconds
	 */
	readonly onHead: (target: Target, metadata: AnswerMetadata, sentAt: number) => void;
	/** Called for each part of an answer. */
	readonly onProgress: (target: Target) => void;
	/** Called with the time between two events of a stream, milliseconds. */
	readonly onGap: (target: Target, gapMs: number) => void;
};
