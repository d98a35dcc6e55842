import {type MemoryPart} from '../memory/memory-part.js';

/** The memory that is held for one request. */
export type RequestMemory = {
	/** Whether there was no room for the request itself, so that it must be refused. */
	readonly isShort: boolean;
	/** Notes that a part of the body has arrived. */
	readonly noteBody: () => void;
	/**
	 * Changes by how much the body or the answer holds, bytes.
	 *
	 * @returns false, with nothing changed, when there is no room
	 */
	readonly grow: (part: Extract<MemoryPart, 'body' | 'answer'>, bytes: number) => boolean;
};
