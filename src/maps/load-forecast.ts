import {type LayerLoads} from './layer-loads.js';

/** Gains of the predictors that compete: from following the last interval to hardly moving. */
const gains = [1, 0.6, 0.3, 0.12] as const;
/** How much of each predictor's past error still counts after one interval. */
const errorMemory = 0.8;

type LayerState = {
	/** `levels[predictor][expert]`: shares of the layer's load; the last predictor is the plain mean. */
	readonly levels: Float64Array[];
	/** Recent squared error of each predictor, summed over experts. */
	readonly errors: Float64Array;
	/** Squared error of each expert under the best predictor, recent mean. */
	readonly variances: Float64Array;
	volume: number;
};

/** A forecast of one layer. */
type LayerForecast = {
	/** Expected tokens of each expert in the next interval. */
	readonly loads: Float64Array;
	/** Variance of that expectation's own error in each expert, tokens squared. */
	readonly uncertainties: Float64Array;
	/** Intervals that the expectation is likely to hold for. */
	readonly horizon: number;
};

const maximumHorizon = 30;

/**
 * Forecasts expert loads. Several exponential means and the plain mean compete in every layer; the one that erred
 * least lately is believed. Noise is then averaged away, and drift or a sudden change is followed.
 */
export class LoadForecast {
	private readonly layers: LayerState[] = [];
	private count = 0;

	/** Takes the loads of an interval that has ended. */
	observe(loads: LayerLoads): void {
		this.count++;
		for (const [layer, experts] of loads.entries()) {
			this.layers[layer] ??= makeLayer(experts.length);
			this.observeLayer(this.layers[layer], experts);
		}
	}

	/** Forecasts one layer; nothing is known before the first interval. */
	getLayer(layer: number): LayerForecast {
		const {levels, errors, variances, volume} = this.layers[layer];
		const best = findLeast(errors);
		const gain = best < gains.length ? gains[best] : 1 / this.count;
		// The variance of an exponential mean of independent samples, by that of one sample.
		const shrink = best < gains.length ? gain / (2 - gain) : 1 / this.count;
		return {
			loads: levels[best].map(share => share * volume),
			uncertainties: variances.map(variance => variance * shrink * volume * volume),
			horizon: Math.min(maximumHorizon, 1 / gain, this.count),
		};
	}

	private observeLayer(state: LayerState, experts: readonly number[]): void {
		const volume = experts.reduce((sum, load) => sum + load, 0);
		if (volume === 0) {
			return;
		}

		const best = findLeast(state.errors);
		state.volume = volume;
		const isFirst = this.count === 1;
		for (const [predictor, levels] of state.levels.entries()) {
			const gain = isFirst ? 1 : (gains[predictor] ?? 1 / this.count);
			let error = 0;
			for (const [expert, load] of experts.entries()) {
				const miss = (load / volume) - levels[expert];
				error += miss * miss;
				levels[expert] += gain * miss;
				if (predictor === best && !isFirst) {
					const weight = Math.max(1 - errorMemory, 1 / this.count);
					state.variances[expert] += weight * ((miss * miss) - state.variances[expert]);
				}
			}

			state.errors[predictor] = isFirst ? 0 : (state.errors[predictor] * errorMemory) + error;
		}
	}
}

function makeLayer(experts: number): LayerState {
	const predictors = gains.length + 1;
	return {
		levels: Array.from({length: predictors}, () => new Float64Array(experts)),
		errors: new Float64Array(predictors),
		variances: new Float64Array(experts),
		volume: 0,
	};
}

function findLeast(errors: Float64Array): number {
	let least = 0;
	for (let index = 1; index < errors.length; index++) {
		if (errors[index] < errors[least]) {
			least = index;
		}
	}

	return least;
}
