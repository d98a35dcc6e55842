import {type MessageOf} from '../link/message-of.js';

/** What the maker of a call gets to know, in order. */
export type CallEvent
	= | MessageOf<'head' | 'data' | 'end' | 'broken' | 'refused' | 'cancelled'>
	/** The link was lost for too long, or the target process was replaced: whether the call ran is not known. */
		| {readonly type: 'lost'; readonly reason: string}
	/** The request never left this process. */
		| {readonly type: 'unsent'};
