import {type ExpertMap} from './expert-map.js';

/** One interval of a replay. */
export type ReplayInterval = {
	readonly atMs: number;
	/** The map in force during the interval. */
	readonly map: ExpertMap;
	/** Copies placed to bring that map into force. */
	readonly moves: number;
	readonly skew: number;
	/** A skew that no map could have gone below. */
	readonly bound: number;
	/** Time spent on planning the map of the next interval. */
	readonly planningMs: number;
};
