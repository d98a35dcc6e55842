import {countMoves} from './count-moves.js';
import {type ExpertMap} from './expert-map.js';
import {type LayerChange} from './layer-change.js';
import {LayerSearch} from './layer-search.js';
import {type LoadForecast} from './load-forecast.js';
import {type MapShape} from './map-shape.js';
import {type MapWeights} from './map-weights.js';
import {repackLayer} from './repack-layer.js';

type PlanOptions = {
	readonly shape: MapShape;
	readonly map: ExpertMap;
	readonly forecast: LoadForecast;
	readonly weights: MapWeights;
	/** Copies that may be placed now. */
	readonly budget: number;
};

type LayerPlan = {
	readonly present: ReadonlyArray<readonly number[]>;
	readonly forecast: ReturnType<LoadForecast['getLayer']>;
	readonly peakBefore: number;
	search: LayerSearch;
	copies: number;
	next: LayerChange | undefined;
};

/** Cost of placing one copy when both weights are equal, as a share of one interval's step time. */
const copyCost = 2e-5;
/** A layer changes only if its peak falls by this many standard errors of the forecast. */
const minimumStandardErrors = 0.5;
/** The same while popularity appears constant: the largest of many rank loads is then mostly noise. */
const steadyStandardErrors = 4;
/** A layer also changes only if its peak falls by this share of its mean rank load, in either case. */
const minimumReliefShare = 0.002;
const steadyReliefShare = 0.03;
/** The share required while popularity appears constant, once this many intervals have passed since the last sudden change. */
const settledCount = 24;
const settledReliefShare = 0.08;
/** A layer is stuck if packing it from scratch would lower its peak by this share of the mean rank load. */
const stuckShare = 0.02;
/** Maximum number of layers that one plan packs from scratch to see whether they are stuck. */
const maximumPackings = 6;

const getGainPerCopy = (plan: LayerPlan): number => plan.next ? plan.next.gain * plan.forecast.horizon / plan.next.placements.length : 0;

const createLayerPlan = (map: ExpertMap, layer: number, forecast: LoadForecast): LayerPlan => {
	const expected = forecast.getLayer(layer);
	const search = new LayerSearch(map[layer], expected.loads, expected.variances);
	return {
		present: map[layer], forecast: expected, peakBefore: search.peak, search, copies: 0, next: search.findBest(),
	};
};

const findBestLayer = (layers: readonly LayerPlan[]): LayerPlan => {
	let best = layers[0];
	for (const plan of layers) {
		if (getGainPerCopy(plan) > getGainPerCopy(best)) {
			best = plan;
		}
	}

	return best;
};

/* Whether a layer's relief is larger than what the forecast's error could explain. */
const isCertain = (plan: LayerPlan): boolean => {
	const {isSteady, forecastErrorShare, count} = plan.forecast;
	const relief = plan.peakBefore - plan.search.peak;
	const error = plan.search.getPeakDeviation() * Math.sqrt(forecastErrorShare);
	const {meanLoad} = plan.search;
	const steadyRelief = count >= settledCount ? settledReliefShare : steadyReliefShare;
	return isSteady
		? relief > Math.max(steadyStandardErrors * error, steadyRelief * meanLoad)
		: relief > Math.max(minimumStandardErrors * error, minimumReliefShare * meanLoad);
};

/* Applies single changes, the one with the highest gain per copy over all layers first; returns the rest of the budget, copies. */
const improve = (layers: readonly LayerPlan[], minimumGainPerCopy: number, budget: number): number => {
	let left = budget;
	for (;;) {
		const best = findBestLayer(layers);
		if (!best.next || getGainPerCopy(best) <= minimumGainPerCopy || best.next.placements.length > left) {
			return left;
		}

		left -= best.next.placements.length;
		best.copies += best.next.placements.length;
		best.search.apply(best.next);
		best.next = best.search.findBest();
	}
};

/* A layer that no single change improves may still be much worse than one packed from scratch, which is used if it is worth its copies. */
const packStuckLayers = (layers: readonly LayerPlan[], shape: MapShape, minimumGainPerCopy: number, budget: number): void => {
	let left = budget;
	const worstFirst = layers.toSorted((one, other) => (other.search.peak / other.search.meanLoad) - (one.search.peak / one.search.meanLoad));
	for (const plan of worstFirst.slice(0, maximumPackings)) {
		const {loads, variances, horizon} = plan.forecast;
		const packed = repackLayer(plan.present, [...loads], shape);
		const search = new LayerSearch(packed, loads, variances);
		const copies = countMoves([plan.present], [packed]);
		const relief = plan.search.peak - search.peak;
		const isStuck = relief > stuckShare * plan.search.meanLoad;
		const extra = copies - plan.copies;
		if (isStuck && extra <= left && relief * horizon > minimumGainPerCopy * extra) {
			left -= extra;
			plan.search = search;
			plan.copies = copies;
		}
	}
};

/**
 * Plans the next map from the current one. Repeatedly applies the change with the highest gain per copy over all layers,
 * as long as the gain over the forecast's horizon exceeds the cost; then packs stuck layers from scratch.
 *
 * @returns the next map, or undefined if the current one should stay
 */
export function planMap({
	map, shape, forecast, weights, budget,
}: PlanOptions): ExpertMap | undefined {
	const layers = map.map((_ranks, layer) => createLayerPlan(map, layer, forecast));
	let stepTime = 0;
	for (const {search} of layers) {
		stepTime += search.meanLoad;
	}

	const minimumGainPerCopy = weights.skew === 0 ? Number.POSITIVE_INFINITY : copyCost * stepTime * weights.move / weights.skew;
	const left = improve(layers, minimumGainPerCopy, budget);
	packStuckLayers(layers, shape, minimumGainPerCopy, left);
	const isChanged = layers.map(plan => plan.copies > 0 && isCertain(plan));
	return isChanged.includes(true)
		? map.map((ranks, layer) => isChanged[layer] ? layers[layer].search.toMap() : ranks)
		: undefined;
}
