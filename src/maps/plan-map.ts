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

/** What placing one copy costs, as a share of one interval's step time, when both weights are equal. */
const copyCost = 2e-5;
/** A layer changes only if its peak falls by this many standard errors of the forecast. */
const minimumStandardErrors = 0.5;
/** The same while popularity does not seem to change: the largest of many ranks is then mostly noise. */
const steadyStandardErrors = 4;
/** And by this share of its mean rank load, in either case. */
const minimumReliefShare = 0.002;
const steadyReliefShare = 0.03;
/** After so many intervals without a change, a layer is left alone for anything less than this share. */
const settledCount = 24;
const settledReliefShare = 0.08;
/** A layer whose peak a fresh packing would lower by this share of the mean is stuck. */
const stuckShare = 0.02;
/** Layers that are packed afresh to see whether they are stuck, in one plan. */
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

/* A gain that the forecast's own error may explain is not worth a copy. */
const isCertain = (plan: LayerPlan): boolean => {
	const {isSteady, forecastErrorShare: ownShare, count} = plan.forecast;
	const relief = plan.peakBefore - plan.search.peak;
	const error = plan.search.getPeakDeviation() * Math.sqrt(ownShare);
	const {meanLoad} = plan.search;
	const steadyRelief = count >= settledCount ? settledReliefShare : steadyReliefShare;
	return isSteady
		? relief > Math.max(steadyStandardErrors * error, steadyRelief * meanLoad)
		: relief > Math.max(minimumStandardErrors * error, minimumReliefShare * meanLoad);
};

/* Takes single changes, the worthiest first in whichever layer; gives the copies of the budget that are left. */
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

/* A layer that no single change helps may still be far from what a fresh packing gives; that is taken if it pays. */
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
 * Plans the next map: from the present one, takes the change that relieves most for each copy it places, in whichever
 * layer, while it pays over the intervals that the forecast is likely to hold for; then packs stuck layers afresh.
 *
 * @returns the next map, or undefined when the present one should stay
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
