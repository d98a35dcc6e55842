import {type MessageOf} from '../link/message-of.js';

/** What a guard lets a request do: run at the target that was chosen, or join the copy that came first. */
export type RunPermit
	= | {readonly kind: 'run'; readonly once: MessageOf<'request'>['once']}
		| {readonly kind: 'join'; readonly target: string; readonly incarnation: string; readonly key: string; readonly owner: string};
