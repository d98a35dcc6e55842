import {countMoves} from './count-moves.js';
import {type ExpertMap} from './expert-map.js';
import {type LayerLoads} from './layer-loads.js';
import {LoadForecast} from './load-forecast.js';
import {type MapShape} from './map-shape.js';
import {type MapWeights} from './map-weights.js';
import {planMap} from './plan-map.js';

/** Share of all slots that may be refilled in one interval when both weights are equal, and its limits for other weights. */
const evenShare = 0.015;
const minimumShare = 0.004;
const maximumShare = 0.038;
/** Intervals of unused budget that can be saved up. */
const savedIntervals = 9;
/** Maximum copies that one plan places, which bounds the planning time. */
const maximumCopies = 1500;
/** Copies that any group can save up, so that small groups can change their map at all. */
const minimumSavedLimit = 8;

/** Plans the maps of one group over time, from a forecast of its loads and within a budget of copies. */
export class MapPlanner {
	private readonly forecast = new LoadForecast();
	private readonly share: number;
	private savedCopies: number;

	constructor(private readonly shape: MapShape, private readonly weights: MapWeights) {
		const ratio = weights.move === 0 ? Number.POSITIVE_INFINITY : weights.skew / weights.move;
		this.share = Math.min(maximumShare, Math.max(minimumShare, evenShare * Math.sqrt(ratio)));
		this.savedCopies = this.savedLimit;
	}

	/**
	 * Records the loads of the interval that has just ended, and plans the map for the next one.
	 *
	 * @param map - the map in force
	 * @returns the map in force from now on; the same object if nothing should change
	 */
	plan(map: ExpertMap, loads: LayerLoads): ExpertMap {
		this.forecast.observe(loads);
		this.savedCopies = Math.min(this.savedLimit, this.savedCopies + this.budgetPerInterval);
		const next = planMap({
			map, shape: this.shape, forecast: this.forecast, weights: this.weights, budget: Math.min(maximumCopies, Math.floor(this.savedCopies)),
		});
		if (!next) {
			return map;
		}

		this.savedCopies -= countMoves(map, next);
		return next;
	}

	private get savedLimit(): number {
		return Math.max(minimumSavedLimit, this.budgetPerInterval * savedIntervals);
	}

	private get budgetPerInterval(): number {
		return this.shape.layers * this.shape.ranks * this.shape.slots * this.share;
	}
}
