import {type LayerLoads} from '../maps/layer-loads.js';
import {type ExpertCounts} from './expert-counts.js';

/** Choices by layer and expert. */
type Tally = number[][];

/**
 * Time constant of the exponential decay of old choices, milliseconds: long enough to average over the prompts of some
 * dozens of requests. A shift of demand is detected from the latest report of each rank, not by this decay.
 */
const decayMs = 2000;
/** Minimum time constant in report intervals: ranks report at different times, so each report must count until after the next one. */
const decayIntervals = 1.5;
/** Upper bound of the report interval, milliseconds: a rank that was away for long says nothing about how often the others report. */
const maximumIntervalMs = 3300;
/**
 * Share of a layer's choices that must have moved to other experts for older choices to be discarded. On a recorded
 * trace of 12 ranks (34 s), consecutive reports differed by 0.05 to 0.2 under steady demand and by 0.25 to 0.5 when it
 * shifted; a false positive only means a plan from fewer requests. Replays with thresholds from 0.05 to 0.2 gave a mean
 * skew of 1.81, 1.73 (0.08), 1.75 (0.1), 1.76, 1.79 and 1.86 (0.2).
 */
const shiftThreshold = 0.1;

const total = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

const measureShift = (from: readonly number[], to: readonly number[]): number => {
	const fromTotal = total(from);
	const toTotal = total(to);
	if (fromTotal === 0 || toTotal === 0) {
		return 0;
	}

	let moved = 0;
	for (const [expert, count] of from.entries()) {
		moved += Math.abs((count / fromTotal) - (to[expert] / toTotal));
	}

	return moved / 2;
};

/** Estimates how often each expert of a group is chosen, from the ranks' cumulative counts. Discards old choices once demand shifts. */
export class LoadEstimator {
	private readonly lastCounts = new Map<number, ExpertCounts>();
	/** Choices of each rank's requests between its last two reports. */
	private readonly newestTallies = new Map<number, Tally>();
	/** Sum of all choices, decayed over time. */
	private readonly decayedSum: Tally = [];
	private readonly recordedAt = new Map<number, number>();
	private decayedAt: number | undefined;
	private intervalMs = 0;

	/** Records a rank's counts. Counting starts over in another epoch, or after the engine has restarted. */
	record(rank: number, counts: ExpertCounts, now: number): void {
		this.decay(now);
		const previous = this.lastCounts.get(rank);
		this.lastCounts.set(rank, counts);
		this.intervalMs = Math.min(maximumIntervalMs, now - (this.recordedAt.get(rank) ?? now));
		this.recordedAt.set(rank, now);
		if (previous?.epoch !== counts.epoch || previous.bornAt !== counts.bornAt) {
			return;
		}

		const chosen = counts.chosen.map((experts, layer) =>
			scaleByRoot(experts.map((count, expert) => Math.max(0, count - (previous.chosen[layer]?.[expert] ?? count)))));
		this.newestTallies.set(rank, chosen);
		addTo(this.decayedSum, chosen);
	}

	/** Returns recent choices by layer and expert; empty before any are known. */
	getLoads(now: number): LayerLoads {
		this.decay(now);
		const sum: Tally = [];
		for (const chosen of this.newestTallies.values()) {
			addTo(sum, chosen);
		}

		for (const [layer, experts] of sum.entries()) {
			if (measureShift(this.decayedSum[layer], experts) > shiftThreshold) {
				this.decayedSum[layer] = experts;
			}
		}

		return this.decayedSum;
	}

	private decay(now: number): void {
		const share = Math.exp(((this.decayedAt ?? now) - now) / Math.max(decayMs, decayIntervals * this.intervalMs));
		this.decayedAt = now;
		for (const experts of this.decayedSum) {
			for (const expert of experts.keys()) {
				experts[expert] *= share;
			}
		}
	}
}

/*
 * Scales a report to the square root of its size. Otherwise one long prompt would outweigh many short ones, although its
 * experts are just as random.
 */
function scaleByRoot(chosen: readonly number[]): number[] {
	const size = total(chosen);
	return chosen.map(count => size === 0 ? 0 : count / Math.sqrt(size));
}

function addTo(tally: Tally, chosen: Tally): void {
	for (const [layer, experts] of chosen.entries()) {
		tally[layer] ??= experts.map(() => 0);
		for (const [expert, count] of experts.entries()) {
			tally[layer][expert] += count;
		}
	}
}
