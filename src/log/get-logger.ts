import {Roarr, type Logger as RoarrLogger} from 'roarr';

/**
 * Creates the logger of one part of a process, such as `view` or `request`. The part is the prefix of each message and is set
 * in its context.
 */
export function getLogger(part: string): RoarrLogger {
	return Roarr.child(message => ({
		...message,
		message: `${part}: ${message.message}`,
		context: {...message.context, part},
	}));
}
