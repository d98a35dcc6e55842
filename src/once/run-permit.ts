import {type MessageOf} from '../link/message-of.js';

/** A guard's decision: run at the selected target, or join the earlier request with the same key. */
export type RunPermit
	= | {readonly kind: 'run'; readonly once: MessageOf<'request'>['once']}
		| {readonly kind: 'join'; readonly target: string; readonly incarnation: string; readonly key: string; readonly owner: string};
