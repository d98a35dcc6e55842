import {Roarr, type Logger as RoarrLogger} from 'roarr';

/** Gives one part of a process its logger; every line starts with the part's prefix. */
export function getLogger(part: string): RoarrLogger {
	return Roarr.child(message => ({
		...message,
		message: `${part}: ${message.message}`,
		context: {...message.context, part},
	}));
}
