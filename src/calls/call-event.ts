import {type MessageOf} from '../link/message-of.js';

/** An event of a call, in order: a part of the answer, or the end of the call without an answer. */
export type CallEvent
	= | MessageOf<'head' | 'data' | 'end' | 'broken' | 'refused' | 'cancelled'>
	/** The link was lost for too long, or the target process was replaced: the request may have run. */
		| {readonly type: 'lost'; readonly reason: string}
	/** The request was never sent, so it did not run. */
		| {readonly type: 'unsent'};
