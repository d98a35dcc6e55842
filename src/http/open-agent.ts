import {Agent} from 'undici';

/**
 * Limit on the body of an answer of the platform, an engine or another process of the system, bytes. Pages of the store and
 * lists of VMs stay far below.
 */
const maximumAnswerBytes = 16 * 1024 * 1024;

/** Opens an agent whose answers are whole documents; one that is too large fails. */
export function openAgent(options?: Agent.Options): Agent {
	return new Agent({...options, maxResponseSize: maximumAnswerBytes});
}
