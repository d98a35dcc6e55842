import {type ExpertMap} from './expert-map.js';
import {type LayerChange} from './layer-change.js';
import {LayerSearch} from './layer-search.js';
import {type LoadForecast} from './load-forecast.js';
import {type MapWeights} from './map-weights.js';

type PlanOptions = {
	readonly map: ExpertMap;
	readonly forecast: LoadForecast;
	readonly weights: MapWeights;
	/** Copies that may be placed now. */
	readonly budget: number;
};

type LayerPlan = {
	readonly search: LayerSearch;
	readonly horizon: number;
	readonly uncertainties: Float64Array;
	readonly peakBefore: number;
	copies: number;
	next: LayerChange | undefined;
};

/** What placing one copy costs, as a share of one interval's step time, when both weights are equal. */
const copyCost = 2e-5;
/** A layer changes only if its peak falls by this many standard errors of the forecast. */
const certainty = 3;
/** And by this share of its mean rank load. */
const leastReliefShare = 0.01;

const getWorth = (plan: LayerPlan): number => plan.next ? plan.next.gain * plan.horizon / plan.next.placements.length : 0;

const startLayer = (map: ExpertMap, layer: number, forecast: LoadForecast): LayerPlan => {
	const {loads, uncertainties, horizon} = forecast.getLayer(layer);
	const search = new LayerSearch(map[layer], loads);
	return {
		search, horizon, uncertainties, peakBefore: search.peak, copies: 0, next: search.findBest(),
	};
};

/* A gain that the forecast's own error may explain is not worth a copy. */
const isCertain = (plan: LayerPlan): boolean => {
	const relief = plan.peakBefore - plan.search.peak;
	const error = plan.search.getPeakError(plan.uncertainties);
	return relief > Math.max(certainty * error, leastReliefShare * plan.search.meanLoad);
};

/**
 * Plans the next map: from the present one, takes the change that relieves most for each copy it places, in whichever
 * layer, while it pays over the intervals that the forecast is likely to hold for.
 *
 * @returns the next map, or undefined when the present one should stay
 */
export function planMap({map, forecast, weights, budget}: PlanOptions): ExpertMap | undefined {
	const layers = map.map((_ranks, layer) => startLayer(map, layer, forecast));
	const stepTime = layers.reduce((sum, {search}) => sum + search.meanLoad, 0);
	const leastWorth = weights.skew === 0 ? Number.POSITIVE_INFINITY : copyCost * stepTime * weights.move / weights.skew;
	let left = budget;
	for (;;) {
		const best = layers.reduce((one, other) => getWorth(other) > getWorth(one) ? other : one);
		if (getWorth(best) <= leastWorth || best.next!.placements.length > left) {
			break;
		}

		left -= best.next!.placements.length;
		best.copies += best.next!.placements.length;
		best.search.apply(best.next!);
		best.next = best.search.findBest();
	}

	const isChanged = layers.map(plan => plan.copies > 0 && isCertain(plan));
	return isChanged.includes(true)
		? map.map((ranks, layer) => isChanged[layer] ? layers[layer].search.toMap() : ranks)
		: undefined;
}
