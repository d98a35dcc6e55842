import {type LimitKind} from './limit-kind.js';

/** A request that a limit does not let through, and when to come back (milliseconds from now). */
export class LimitRefusal extends Error {
	override readonly name = 'LimitRefusal';

	constructor(readonly kind: LimitKind, readonly retryAfterMs: number) {
		super(`the limit on ${kind} is reached`);
	}
}
