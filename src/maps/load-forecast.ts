import {type LayerLoads} from './layer-loads.js';

/**
 * Candidate predictors: exponential moving averages, from the last interval alone to very slow ones, and two with a
 * trend. The arithmetic mean follows them as the last predictor.
 *
 * @see https://doi.org/10.1016/j.ijforecast.2003.09.015 exponential means with a trend
 */
const predictors = [
	{gain: 1, trendGain: 0},
	{gain: 0.6, trendGain: 0},
	{gain: 0.3, trendGain: 0},
	{gain: 0.12, trendGain: 0},
	{gain: 0.5, trendGain: 0.2},
	{gain: 0.3, trendGain: 0.08},
] as const;
/** Share of each predictor's accumulated error that is kept after one interval. */
const errorDecay = 0.9;
/** How many times smaller than the mean's error another predictor's error must be for it to be selected. */
const meanAdvantage = 1.6;
/** An error this many times larger than usual means a sudden change, after which earlier observations are discarded. */
const changeFactor = 8;
/** Intervals after which the usual error is known. */
const minimumCount = 3;

type LayerState = {
	/** `levels[predictor][expert]`: share of the layer's load; the last predictor is the arithmetic mean. */
	readonly levels: Float64Array[];
	/** `trends[predictor][expert]`: change of the share in one interval. */
	readonly trends: Float64Array[];
	/** Recent squared error of each predictor, summed over experts. */
	readonly errors: Float64Array;
	/** Recent mean of each expert's squared error under the selected predictor. */
	readonly variances: Float64Array;
	/** Recent mean of the selected predictor's squared error. */
	usualError: number;
	volume: number;
	/** Intervals since the start, or since the last sudden change. */
	count: number;
};

/** A forecast of one layer. */
type LayerForecast = {
	/** Expected tokens of each expert in the next interval. */
	readonly loads: Float64Array;
	/** Variance of each expert's next load around its expectation, tokens squared. */
	readonly variances: Float64Array;
	/** Share of the variance that is the error of the expectation itself rather than noise of the interval. */
	readonly forecastErrorShare: number;
	/** Whether popularity appears constant, so that the arithmetic mean is the selected predictor. */
	readonly isSteady: boolean;
	/** Intervals observed since the start or the last sudden change. */
	readonly count: number;
	/** Intervals for which the expectation is likely to hold. */
	readonly horizon: number;
};

/** Upper bound of the horizon of a forecast, intervals. */
const maximumHorizon = 30;

/**
 * Forecasts expert loads. In each layer the predictor with the smallest recent error is selected, so that noise is
 * averaged out while drift and sudden changes are followed.
 */
export class LoadForecast {
	private readonly layers: LayerState[] = [];

	/** Records the loads of an interval that has ended. */
	observe(loads: LayerLoads): void {
		for (const [layer, experts] of loads.entries()) {
			this.layers[layer] ??= makeLayer(experts.length);
			this.observeLayer(this.layers[layer], experts);
		}
	}

	/** Forecasts one layer; the first interval must have been observed. */
	getLayer(layer: number): LayerForecast {
		const {levels, trends, errors, variances, volume, count} = this.layers[layer];
		const best = findBest(errors);
		const gain = getGain(best, count);
		return {
			loads: levels[best].map((share, expert) => Math.max(0, share + trends[best][expert]) * volume),
			variances: variances.map(variance => variance * volume * volume),
			// Variance of an exponential moving average of independent samples, relative to that of one sample.
			forecastErrorShare: best < predictors.length ? gain / (2 - gain) : gain,
			isSteady: best === predictors.length,
			count,
			horizon: Math.min(maximumHorizon, 1 / gain, count),
		};
	}

	private observeLayer(state: LayerState, experts: readonly number[]): void {
		let volume = 0;
		for (const load of experts) {
			volume += load;
		}

		if (volume === 0) {
			return;
		}

		state.volume = volume;
		state.count++;
		const best = findBest(state.errors);
		const error = measureError(state, best, experts);
		if (state.count > minimumCount && error > changeFactor * state.usualError) {
			resetPopularity(state);
		} else if (state.count > 1) {
			state.usualError += (error - state.usualError) / Math.min(state.count - 1, 1 / (1 - errorDecay));
			updateVariances(state, best, experts);
		}

		for (const predictor of state.levels.keys()) {
			updatePredictor(state, predictor, experts);
		}
	}
}

function makeLayer(experts: number): LayerState {
	const count = predictors.length + 1;
	return {
		levels: Array.from({length: count}, () => new Float64Array(experts)),
		trends: Array.from({length: count}, () => new Float64Array(experts)),
		errors: new Float64Array(count),
		variances: new Float64Array(experts),
		usualError: 0,
		volume: 0,
		count: 0,
	};
}

/* Variances are kept, since a sudden change of popularity does not change the noise around it. */
function resetPopularity(state: LayerState): void {
	for (const predictor of state.levels.keys()) {
		state.levels[predictor].fill(0);
		state.trends[predictor].fill(0);
	}

	state.errors.fill(0);
	state.count = 1;
}

function getGain(predictor: number, count: number): number {
	return count === 1 ? 1 : (predictors[predictor]?.gain ?? 1 / count);
}

function getResidual(state: LayerState, predictor: number, expert: number, load: number): number {
	return (load / state.volume) - state.levels[predictor][expert] - state.trends[predictor][expert];
}

function measureError(state: LayerState, predictor: number, experts: readonly number[]): number {
	let error = 0;
	for (const [expert, load] of experts.entries()) {
		error += getResidual(state, predictor, expert, load) ** 2;
	}

	return error;
}

function updateVariances(state: LayerState, best: number, experts: readonly number[]): void {
	const isMean = best === predictors.length;
	const weight = isMean ? 1 / state.count : Math.max(1 - errorDecay, 1 / state.count);
	for (const [expert, load] of experts.entries()) {
		const residual = getResidual(state, best, expert, load);
		state.variances[expert] += weight * ((residual * residual) - state.variances[expert]);
	}
}

/* Updates one predictor and its accumulated error with the loads of an interval. */
function updatePredictor(state: LayerState, predictor: number, experts: readonly number[]): void {
	const levels = state.levels[predictor];
	const trends = state.trends[predictor];
	const gain = getGain(predictor, state.count);
	const trendGain = state.count === 1 ? 0 : (predictors[predictor]?.trendGain ?? 0);
	let error = 0;
	for (const [expert, load] of experts.entries()) {
		const residual = getResidual(state, predictor, expert, load);
		levels[expert] += trends[expert] + (gain * residual);
		trends[expert] += trendGain * residual;
		error += residual * residual;
	}

	state.errors[predictor] = state.count === 1 ? 0 : (state.errors[predictor] * errorDecay) + error;
}

/* Selects the mean, which is the last predictor, unless another one is clearly better. */
function findBest(errors: Float64Array): number {
	const mean = errors.length - 1;
	let best = 0;
	for (let index = 1; index < mean; index++) {
		if (errors[index] < errors[best]) {
			best = index;
		}
	}

	return errors[best] * meanAdvantage < errors[mean] ? best : mean;
}
