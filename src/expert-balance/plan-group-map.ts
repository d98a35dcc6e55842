import {type ExpertMap} from '../maps/expert-map.js';
import {LayerSearch} from '../maps/layer-search.js';
import {type LayerLoads} from '../maps/layer-loads.js';

type PlanOptions = {
	/** Experts on each rank, by layer; ranks may have free slots. */
	readonly map: ExpertMap;
	readonly loads: LayerLoads;
	/** Slots per rank and layer. */
	readonly slots: number;
	/** New experts that one change may add to a rank in one layer. */
	readonly maximumNew: number;
	/** How many times slower than usual each rank is. */
	readonly paces: readonly number[];
	/** Minimum relief that a placed copy must bring, as a share of the mean rank load of its layer. */
	readonly leastRelief: number;
	/** Time that a rank takes to load one copy, and the rest of the time that a switch takes, milliseconds. */
	readonly copyMs: number;
	readonly switchMs: number;
	/** Time before demand shifts again, milliseconds; savings after it are not counted. */
	readonly horizonMs: number;
};

type GroupPlan = {
	readonly map: ExpertMap;
	/** Copies that must be loaded: on all ranks together, and on the rank with the most. */
	readonly copies: number;
	readonly maximumCopies: number;
	/** Time of the most loaded ranks divided by the mean, over all layers, before and after. */
	readonly skewBefore: number;
	readonly skewAfter: number;
};

type Layer = {
	readonly search: LayerSearch;
	readonly present: ReadonlyArray<ReadonlySet<number>>;
	readonly added: Array<Set<number>>;
	readonly empty: number;
	readonly peakBefore: number;
};

/** Copies that each rank loads under the plan, over all layers, and the limit for each rank. */
type CopyQuota = {readonly used: number[]; limit: number};

/* Free slots are represented by an extra expert without load, numbered after the others. */
const isNew = ({present, added, empty}: Omit<Layer, 'search' | 'peakBefore'>, rank: number, expert: number): boolean =>
	expert !== empty && !present[rank].has(expert) && !added[rank].has(expert);

const createLayer = (options: PlanOptions, index: number, quota: CopyQuota): Layer => {
	const {slots, maximumNew, paces} = options;
	const loads = options.loads[index];
	const empty = loads.length;
	const padded = options.map[index].map(experts => [...experts, ...Array.from({length: Math.max(0, slots - experts.length)}, () => empty)]);
	const present = options.map[index].map(experts => new Set(experts));
	const placed = {present, added: present.map(() => new Set<number>()), empty};
	const search = new LayerSearch(padded, Float64Array.from([...loads, 0]), new Float64Array(loads.length + 1), {
		paces,
		canPlace: (rank, expert) => !isNew(placed, rank, expert)
			|| (placed.added[rank].size < maximumNew && quota.used[rank] < quota.limit),
	});
	return {...placed, search, peakBefore: search.peak};
};

const sum = (values: readonly number[]): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
};

const makePlan = (layers: readonly Layer[], {used}: CopyQuota, mean: number): GroupPlan => ({
	map: layers.map(({search, empty}) => search.toMap().map(experts => experts.filter(expert => expert !== empty))),
	copies: sum(used),
	maximumCopies: Math.max(...used),
	skewBefore: mean === 0 ? 1 : sum(layers.map(({peakBefore}) => peakBefore)) / mean,
	skewAfter: mean === 0 ? 1 : sum(layers.map(({search}) => search.peak)) / mean,
});

/**
 * Plans a group's next map from the current one. Greedily takes the placements that relieve the most loaded ranks most,
 * as long as each brings enough relief and no rank gets more new experts than its engine accepts at once.
 *
 * A map comes into force only when the rank with the most copies has loaded them, so a smaller plan is in force sooner.
 * Of the plans with at most one copy per rank, two, and so on, the one that saves most time until the horizon is returned.
 */
export function planGroupMap(options: PlanOptions): GroupPlan {
	const {paces, maximumNew, leastRelief, copyMs, switchMs, horizonMs} = options;
	const quota: CopyQuota = {used: paces.map(() => 0), limit: 0};
	const layers = options.map.map((_ranks, index) => createLayer(options, index, quota));
	const mean = sum(layers.map(({search}) => search.meanLoad));
	let best = makePlan(layers, quota, mean);
	let bestSaving = 0;
	for (quota.limit = 0; quota.limit <= maximumNew * layers.length; quota.limit++) {
		for (const layer of layers) {
			improve(layer, quota, leastRelief * layer.search.meanLoad);
		}

		const plan = makePlan(layers, quota, mean);
		const saving = (plan.skewBefore - plan.skewAfter) * Math.max(0, horizonMs - switchMs - (quota.limit * copyMs));
		if (saving > bestSaving) {
			bestSaving = saving;
			best = plan;
		}

		if (switchMs + ((quota.limit + 1) * copyMs) >= horizonMs) {
			break;
		}
	}

	return best;
}

/* The loop ends without a limit on the number of changes, since the search returns no change whose gain is a rounding error. */
function improve(layer: Layer, quota: CopyQuota, leastRelief: number): void {
	for (let change = layer.search.findBest(); change && change.gain >= leastRelief * change.placements.length; change = layer.search.findBest()) {
		const added = change.placements.filter(({rank, expert}) => isNew(layer, rank, expert));
		layer.search.apply(change);
		for (const {rank, expert} of added) {
			layer.added[rank].add(expert);
			quota.used[rank]++;
		}
	}
}
