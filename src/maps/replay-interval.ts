import {type ExpertMap} from './expert-map.js';

/** One interval of a replay. */
export type ReplayInterval = {
	readonly atMs: number;
	/** The map in force during the interval. */
	readonly map: ExpertMap;
	/** Copies placed to bring the map into force. */
	readonly moves: number;
	readonly skew: number;
	/** Lower bound on the skew of any map. */
	readonly bound: number;
	/** Time spent on planning the next interval's map, milliseconds. */
	readonly planningMs: number;
};
