import {type LayerLoads} from '../maps/layer-loads.js';
import {type ExpertCounts} from './expert-counts.js';

/** What was chosen by layer and expert, faded with time. */
type Tally = number[][];

/**
 * Time in which old choices fade to about a third, milliseconds: long enough to average over the prompts of some dozens
 * of requests. That demand has moved on is told by what each rank reported last, not by this.
 */
const memoryMs = 2000;
/** Ranks are heard at different times: what each says must last until it is heard again, and half as long. */
const memoryIntervals = 1.5;
/** A rank that was away for long says nothing of how often the others are heard, milliseconds. */
const mostIntervalMs = 3300;
/**
 * Share of a layer's choices that must have moved to other experts for the older ones to be forgotten. In a recorded
 * trace of 12 ranks (34 s) the newest choices lay 0.05 to 0.2 from those before while demand stood still, and 0.25 to
 * 0.5 as it shifted; a false alarm costs no more than a plan from fewer requests. Replays with 0.05 to 0.2 gave a mean
 * skew of 1.81, 1.73 (0.08), 1.75 (0.1), 1.76, 1.79 and 1.86 (0.2).
 */
const movedShare = 0.1;

const total = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

const measureMove = (from: readonly number[], to: readonly number[]): number => {
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
export class LoadMeter {
	private readonly last = new Map<number, ExpertCounts>();
	/** What each rank's requests chose between its last two reports. */
	private readonly newest = new Map<number, Tally>();
	private readonly settled: Tally = [];
	private readonly takenAt = new Map<number, number>();
	private fadedAt: number | undefined;
	private intervalMs = 0;

	/** Takes a rank's counts; those of another epoch, or of an engine that has started again, begin anew. */
	take(rank: number, counts: ExpertCounts, now: number): void {
		this.fade(now);
		const previous = this.last.get(rank);
		this.last.set(rank, counts);
		this.intervalMs = Math.min(mostIntervalMs, now - (this.takenAt.get(rank) ?? now));
		this.takenAt.set(rank, now);
		if (previous?.epoch !== counts.epoch || previous.bornAt !== counts.bornAt) {
			return;
		}

		const chosen = counts.chosen.map((experts, layer) =>
			weigh(experts.map((count, expert) => Math.max(0, count - (previous.chosen[layer]?.[expert] ?? count)))));
		this.newest.set(rank, chosen);
		addTo(this.settled, chosen);
	}

	/** Recent choices by layer and expert; empty while nothing is known. */
	get(now: number): LayerLoads {
		this.fade(now);
		const newest: Tally = [];
		for (const chosen of this.newest.values()) {
			addTo(newest, chosen);
		}

		for (const [layer, experts] of newest.entries()) {
			if (measureMove(this.settled[layer], experts) > movedShare) {
				this.settled[layer] = experts;
			}
		}

		return this.settled;
	}

	private fade(now: number): void {
		const share = Math.exp(((this.fadedAt ?? now) - now) / Math.max(memoryMs, memoryIntervals * this.intervalMs));
		this.fadedAt = now;
		for (const experts of this.settled) {
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
function weigh(chosen: readonly number[]): number[] {
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
