import {type LimitKind} from './limit-kind.js';

/** A request was refused by a limit; `retryAfterMs` is the time until a retry may succeed. */
export class LimitRefusal extends Error {
	override readonly name = 'LimitRefusal';

	constructor(readonly kind: LimitKind, readonly retryAfterMs: number) {
		super(`the limit on ${kind} is reached`);
	}
}
