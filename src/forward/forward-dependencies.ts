import {type RankEngine} from '../expert-balance/rank-engine.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {type FleetSource} from './fleet-source.js';
import {type HeaderDialect} from './header-dialect.js';

/** What an entry that forwards straight to targets is given from outside: its platform, its clock, its luck. */
export type ForwardDependencies = {
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly source: FleetSource;
	readonly dialect: HeaderDialect;
	/** Reaches a rank's engine, to give orders for a planner; absent where there are none. */
	readonly openEngine?: (address: string) => RankEngine;
	/** The present, milliseconds, steady. */
	readonly clock: () => number;
	readonly random: () => number;
};
