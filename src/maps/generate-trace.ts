import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type TraceInterval} from './trace-interval.js';
import {type TraceKind} from './trace-kind.js';

type TraceOptions = {
	readonly kind: TraceKind;
	readonly seed: number;
	readonly intervals: number;
	readonly layers: number;
	readonly experts: number;
	/** Exponent of the Zipf distribution of popularity; 0 is uniform. */
	readonly zipf: number;
};

type Random = {readonly uniform: () => number; readonly normal: () => number; readonly integer: (below: number) => number};

/** Length of an interval, milliseconds, and tokens in one at volume 1. */
const intervalMs = 10_000;
const tokensPerInterval = 400_000;
/** Standard deviation of a load around its popularity, as a share. */
const noiseShare = 0.05;
/** Standard deviation of the random walk of log popularity during a burst, per interval. */
const burstStep = 0.06;
/** Intervals between two flips, and share of experts that exchange their popularity in one. */
const flipIntervals = 25;
const flipShare = 0.3;

const makeRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const uniform = (): number => uniformFloat64(generator);
	return {
		uniform,
		normal: () => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform()),
		integer: below => uniformInt(generator, 0, below - 1),
	};
};

const normalize = (weights: readonly number[]): number[] => {
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map(weight => weight / total);
};

const drawPopularity = (experts: number, zipf: number, random: Random): number[] => {
	const weights = Array.from({length: experts}, (_, rank) => (rank + 1) ** -zipf);
	for (let index = experts - 1; index > 0; index--) {
		const other = random.integer(index + 1);
		[weights[index], weights[other]] = [weights[other], weights[index]];
	}

	return normalize(weights);
};

const mix = (one: readonly number[], other: readonly number[], share: number): number[] => one.map((weight, expert) => (weight * (1 - share)) + (other[expert] * share));

/* Some experts exchange their popularity with others, all at once. */
const flip = (popularity: readonly number[], random: Random): number[] => {
	const flipped = [...popularity];
	for (let count = Math.ceil(popularity.length * flipShare / 2); count > 0; count--) {
		const one = random.integer(flipped.length);
		const other = random.integer(flipped.length);
		[flipped[one], flipped[other]] = [flipped[other], flipped[one]];
	}

	return flipped;
};

/* Draws the popularity of one layer's experts in each interval, by the kind of trace. */
const drawLayer = (options: TraceOptions, random: Random): number[][] => {
	const {kind, intervals, experts, zipf} = options;
	const first = drawPopularity(experts, zipf, random);
	const second = drawPopularity(experts, zipf, random);
	const popularities: number[][] = [];
	let current = first;
	for (let index = 0; index < intervals; index++) {
		const progress = index / Math.max(1, intervals - 1);
		switch (kind) {
			case 'season': {
				current = mix(first, second, (1 - Math.cos(2 * Math.PI * progress)) / 2);
				break;
			}

			case 'deadline': {
				current = mix(first, second, progress ** 3);
				break;
			}

			case 'burst': {
				current = normalize(current.map(weight => weight * Math.exp(burstStep * random.normal())));
				break;
			}

			case 'flip': {
				current = index > 0 && index % flipIntervals === 0 ? flip(current, random) : current;
				break;
			}

			case 'noise': {
				break;
			}
		}

		popularities.push(current);
	}

	return popularities;
};

const getVolume = (kind: TraceKind, progress: number): number => {
	switch (kind) {
		case 'season': {
			return 1;
		}

		case 'deadline': {
			return 0.3 + (1.7 * (progress ** 2));
		}

		case 'burst': {
			return 0.4 + (1.6 * Math.exp(-(((progress - 0.5) / 0.2) ** 2)));
		}

		default: {
			return 1;
		}
	}
};

/** Generates a trace from a seed: the same seed gives the same trace. */
export function generateTrace(options: TraceOptions): TraceInterval[] {
	const random = makeRandom(options.seed);
	const layers = Array.from({length: options.layers}, () => drawLayer(options, random));
	return Array.from({length: options.intervals}, (_, index) => {
		const progress = index / Math.max(1, options.intervals - 1);
		const volume = tokensPerInterval * getVolume(options.kind, progress);
		return {
			atMs: index * intervalMs,
			loads: layers.map(popularities => popularities[index].map(share => Math.max(0, Math.round(volume * share * (1 + (noiseShare * random.normal())))))),
		};
	});
}
