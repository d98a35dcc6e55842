import {type LayerLoads} from '../maps/layer-loads.js';
import {type ExpertCounts} from './expert-counts.js';

/** Time in which old choices fade to about a third, milliseconds, at the least: demand shifts every few seconds. */
const leastMemoryMs = 500;
/** Ranks are heard at different times: what each says must last until it is heard again, and half as long. */
const memoryIntervals = 1.5;
/** A rank that was away for long says nothing of how often the others are heard, milliseconds. */
const mostMemoryMs = 5000;

/** How often each expert of a group was chosen lately, from the ranks' running counts. */
export class LoadMeter {
	private readonly last = new Map<number, ExpertCounts>();
	private readonly loads: number[][] = [];
	private readonly takenAt = new Map<number, number>();
	private fadedAt: number | undefined;
	private memoryMs = leastMemoryMs;

	/** Takes a rank's counts; those of another epoch begin anew. */
	take(rank: number, counts: ExpertCounts, now: number): void {
		this.fade(now);
		const previous = this.last.get(rank);
		this.last.set(rank, counts);
		this.memoryMs = Math.min(mostMemoryMs, Math.max(leastMemoryMs, memoryIntervals * (now - (this.takenAt.get(rank) ?? now))));
		this.takenAt.set(rank, now);
		if (previous?.epoch !== counts.epoch) {
			return;
		}

		for (const [layer, experts] of counts.chosen.entries()) {
			this.loads[layer] ??= experts.map(() => 0);
			for (const [expert, count] of experts.entries()) {
				this.loads[layer][expert] += Math.max(0, count - (previous.chosen[layer]?.[expert] ?? count));
			}
		}
	}

	/** Recent choices by layer and expert; empty while nothing is known. */
	get(now: number): LayerLoads {
		this.fade(now);
		return this.loads;
	}

	private fade(now: number): void {
		const share = Math.exp(((this.fadedAt ?? now) - now) / this.memoryMs);
		this.fadedAt = now;
		for (const experts of this.loads) {
			for (const expert of experts.keys()) {
				experts[expert] *= share;
			}
		}
	}
}
