import {type LimitKind} from './limit-kind.js';

/** What one request needs from one limit. */
export type LimitDemand = {
	/** Name of the limit, KIND/SERVICE/ORGANISATION. */
	readonly name: string;
	readonly kind: LimitKind;
	/** The limit for all entries together: per second, or concurrent. */
	readonly value: number;
	/** Units needed. */
	readonly amount: number;
};
