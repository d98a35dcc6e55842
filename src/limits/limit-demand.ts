import {type LimitKind} from './limit-kind.js';

/** What one request asks of one limit. */
export type LimitDemand = {
	/** Name of the limit: its kind, and the service and organisation that it is for. */
	readonly name: string;
	readonly kind: LimitKind;
	/** The limit of the whole system, per second or at once. */
	readonly value: number;
	readonly amount: number;
};
