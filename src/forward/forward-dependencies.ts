import {type RankEngine} from '../expert-balance/rank-engine.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {type FleetSource} from './fleet-source.js';
import {type HeaderDialect} from './header-dialect.js';

/** What a forwarding entry gets from its environment: the platform's clients and formats, the clock, random numbers. */
export type ForwardDependencies = {
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly source: FleetSource;
	readonly dialect: HeaderDialect;
	/** Opens a rank's engine, to pass on a planner's orders; absent where there are no ranks. */
	readonly openEngine?: (address: string) => RankEngine;
	/** The present time on a monotonic clock, milliseconds. */
	readonly clock: () => number;
	/** A random number from 0 (included) to 1 (excluded). */
	readonly random: () => number;
};
