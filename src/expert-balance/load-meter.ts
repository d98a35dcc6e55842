import {type LayerLoads} from '../maps/layer-loads.js';
import {type ExpertCounts} from './expert-counts.js';

/** What was chosen by layer and expert, faded with time. */
type Tally = number[][];

/**
 * Time in which old choices fade to about a third, milliseconds: in the tally that is planned with, which averages over
 * the prompts of some dozens of requests, and in the one that tells whether demand has moved on, which must do so fast.
 */
const settledMs = 2000;
const newestMs = 200;
/** Ranks are heard at different times: what each says must last until it is heard again, and half as long. */
const memoryIntervals = 1.5;
/** A rank that was away for long says nothing of how often the others are heard, milliseconds. */
const mostMemoryMs = 5000;
/**
 * Share of a layer's choices that must have moved to other experts for the older ones to be forgotten. In a recorded
 * trace of 12 ranks (34 s) the newest choices lay 0.05 to 0.2 from those before while demand stood still, and 0.25 to
 * 0.5 as it shifted; a false alarm costs no more than a plan from fewer requests.
 */
const movedShare = 0.15;

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
	private readonly settled: Tally = [];
	private readonly newest: Tally = [];
	private readonly takenAt = new Map<number, number>();
	private fadedAt: number | undefined;
	private newestMemoryMs = newestMs;

	/** Takes a rank's counts; those of another epoch begin anew. */
	take(rank: number, counts: ExpertCounts, now: number): void {
		this.fade(now);
		const previous = this.last.get(rank);
		this.last.set(rank, counts);
		this.newestMemoryMs = Math.min(mostMemoryMs, Math.max(newestMs, memoryIntervals * (now - (this.takenAt.get(rank) ?? now))));
		this.takenAt.set(rank, now);
		if (previous?.epoch !== counts.epoch) {
			return;
		}

		for (const [layer, experts] of counts.chosen.entries()) {
			this.add(layer, experts.map((count, expert) => Math.max(0, count - (previous.chosen[layer]?.[expert] ?? count))));
		}
	}

	/** Recent choices by layer and expert; empty while nothing is known. */
	get(now: number): LayerLoads {
		this.fade(now);
		for (const [layer, experts] of this.newest.entries()) {
			if (measureMove(this.settled[layer], experts) > movedShare) {
				this.settled[layer] = [...experts];
			}
		}

		return this.settled;
	}

	/*
	 * One long prompt would outweigh many short ones, though its experts are as much a matter of chance: what a rank
	 * says at once weighs by the root of its size.
	 */
	private add(layer: number, chosen: readonly number[]): void {
		const size = total(chosen);
		if (size === 0) {
			return;
		}

		for (const tally of [this.settled, this.newest]) {
			tally[layer] ??= chosen.map(() => 0);
			for (const [expert, count] of chosen.entries()) {
				tally[layer][expert] += count / Math.sqrt(size);
			}
		}
	}

	private fade(now: number): void {
		const elapsedMs = now - (this.fadedAt ?? now);
		this.fadedAt = now;
		this.scale(this.settled, Math.exp(-elapsedMs / Math.max(settledMs, this.newestMemoryMs)));
		this.scale(this.newest, Math.exp(-elapsedMs / this.newestMemoryMs));
	}

	private scale(tally: Tally, share: number): void {
		for (const experts of tally) {
			for (const expert of experts.keys()) {
				experts[expert] *= share;
			}
		}
	}
}
