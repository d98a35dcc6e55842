import {type LayerLoads} from '../maps/layer-loads.js';
import {type ExpertCounts} from './expert-counts.js';

/** What was chosen by layer and expert, faded with time. */
type Tally = number[][];

/**
 * Time in which old choices fade to about a third, milliseconds: long enough to average over the prompts of some dozens
 * of requests. That demand has moved on is told by what each rank reported last, not by this.
 */
const decayMs = 2000;
/** Ranks are heard at different times: what each says must last until it is heard again, and half as long. */
const decayIntervals = 1.5;
/** A rank that was away for long says nothing of how often the others are heard, milliseconds. */
const maximumIntervalMs = 3300;
/**
 * Share of a layer's choices that must have moved to other experts for the older ones to be forgotten. In a recorded
 * trace of 12 ranks (34 s) the newest choices lay 0.05 to 0.2 from those before while demand stood still, and 0.25 to
 * 0.5 as it shifted; a false alarm costs no more than a plan from fewer requests. Replays with 0.05 to 0.2 gave a mean
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

/** How often each expert of a group was chosen lately, from the ranks' running counts. Forgets the past once demand shifts. */
export class LoadEstimator {
	private readonly lastCounts = new Map<number, ExpertCounts>();
	/** What each rank's requests chose between its last two reports. */
	private readonly newestTallies = new Map<number, Tally>();
	private readonly average: Tally = [];
	private readonly recordedAt = new Map<number, number>();
	private decayedAt: number | undefined;
	private intervalMs = 0;

	/** Takes a rank's counts; those of another epoch, or of an engine that has started again, begin anew. */
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
		addTo(this.average, chosen);
	}

	/** Recent choices by layer and expert; empty while nothing is known. */
	getLoads(now: number): LayerLoads {
		this.decay(now);
		const sum: Tally = [];
		for (const chosen of this.newestTallies.values()) {
			addTo(sum, chosen);
		}

		for (const [layer, experts] of sum.entries()) {
			if (measureShift(this.average[layer], experts) > shiftThreshold) {
				this.average[layer] = experts;
			}
		}

		return this.average;
	}

	private decay(now: number): void {
		const share = Math.exp(((this.decayedAt ?? now) - now) / Math.max(decayMs, decayIntervals * this.intervalMs));
		this.decayedAt = now;
		for (const experts of this.average) {
			for (const expert of experts.keys()) {
				experts[expert] *= share;
			}
		}
	}
}

/*
 * One long prompt would outweigh many short ones, though its experts are as much a matter of chance: what a rank says
 * at once weighs by the root of its size.
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
