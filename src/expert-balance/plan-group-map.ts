import {type ExpertMap} from '../maps/expert-map.js';
import {LayerSearch} from '../maps/layer-search.js';
import {type LayerLoads} from '../maps/layer-loads.js';

type PlanOptions = {
	/** Experts on each rank, by layer; ranks may have free slots. */
	readonly map: ExpertMap;
	readonly loads: LayerLoads;
	/** Slots per rank and layer. */
	readonly slots: number;
	/** Experts that a change may bring to a rank in one layer. */
	readonly maximumNew: number;
	/** How many times longer than usual each rank takes. */
	readonly paces: readonly number[];
	/** Least relief that a placed copy must bring, as a share of the mean rank load of its layer. */
	readonly leastRelief: number;
	/** Time that a rank takes to load one copy, and that a switch takes besides, milliseconds. */
	readonly copyMs: number;
	readonly switchMs: number;
	/** How long a map serves before demand has moved on, milliseconds: what comes later counts for nothing. */
	readonly horizonMs: number;
};

type GroupPlan = {
	readonly map: ExpertMap;
	/** Copies that ranks must load: all of them, and the rank with the most. */
	readonly copies: number;
	readonly maximumCopies: number;
	/** Time of the most loaded rank by the mean over ranks, over all layers, before and after. */
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

/** Copies that each rank loads by the plan, over all layers, and how many it may. */
type CopyQuota = {readonly used: number[]; limit: number};

/* Free slots hold an expert that nobody chooses, whose number follows the others'. */
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
 * Plans a group's next map from the present one: the placements that relieve the most loaded ranks, the worthiest
 * first, while each brings enough and no rank gets more new experts than its engine takes at once.
 *
 * A map is in force only when the rank with the most copies to load has loaded them, so a smaller plan is in force
 * sooner: of the plans with one copy a rank, two, and so on, that is taken which saves most until the horizon.
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

/* Every change passes over the search's own stop at rounding errors, so a bound on their number is not needed. */
function improve(layer: Layer, quota: CopyQuota, leastRelief: number): void {
	for (let change = layer.search.findBest(); change && change.gain >= leastRelief * change.placements.length; change = layer.search.findBest()) {
		const fresh = change.placements.filter(({rank, expert}) => isNew(layer, rank, expert));
		layer.search.apply(change);
		for (const {rank, expert} of fresh) {
			layer.added[rank].add(expert);
			quota.used[rank]++;
		}
	}
}
