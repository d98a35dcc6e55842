import {type LayerChange} from './layer-change.js';

type Placement = LayerChange['placements'][number];

/* The peak is smoothed as a norm of rank loads of this order, so that lowering one of several equally hot ranks
 * already counts. It must be a power of two: the norm is taken by squaring. */
const squarings = 5;
const order = 2 ** squarings;
/** Improvements below this share of the mean rank load are rounding. */
const leastGainShare = 1e-6;

/**
 * One layer of a map in the middle of a search for better placements. Works on flat arrays, since the search looks
 * at every exchange with the hottest rank many times a plan.
 */
export class LayerSearch {
	/** Expert in each slot, rank after rank. */
	private readonly experts: Int32Array;
	private readonly counts: Int32Array;
	private readonly holders: number[][];
	private readonly rankLoads: Float64Array;
	private readonly powers: Float64Array;
	private readonly isHeld: Uint8Array;
	private readonly mean: number;
	private readonly slots: number;
	private readonly touched: number[] = [];
	private readonly changes: Float64Array;
	private powerSum = 0;

	constructor(map: ReadonlyArray<readonly number[]>, private readonly loads: Float64Array) {
		const ranks = map.length;
		this.slots = map[0].length;
		this.experts = Int32Array.from(map.flat());
		this.counts = new Int32Array(loads.length);
		this.holders = Array.from({length: loads.length}, () => []);
		this.isHeld = new Uint8Array(loads.length * ranks);
		this.rankLoads = new Float64Array(ranks);
		this.powers = new Float64Array(ranks);
		this.changes = new Float64Array(ranks);
		let total = 0;
		for (const load of loads) {
			total += load;
		}

		this.mean = total / ranks;
		for (const [index, expert] of this.experts.entries()) {
			this.hold(expert, Math.floor(index / this.slots));
		}

		this.refresh();
	}

	/** The largest rank load, tokens. */
	get peak(): number {
		let peak = 0;
		for (const load of this.rankLoads) {
			peak = Math.max(peak, load);
		}

		return peak;
	}

	/** Mean rank load, tokens. */
	get meanLoad(): number {
		return this.mean;
	}

	/** Standard error of the hottest rank's load, from the variances of the experts' loads. */
	getPeakError(uncertainties: Float64Array): number {
		const hot = this.findHottest();
		let variance = 0;
		for (let index = hot * this.slots; index < (hot + 1) * this.slots; index++) {
			const expert = this.experts[index];
			variance += uncertainties[expert] / (this.counts[expert] ** 2);
		}

		return Math.sqrt(variance);
	}

	/** The change that gains most for each copy it places; undefined when none gains. */
	findBest(): LayerChange | undefined {
		const hot = this.findHottest();
		let best: LayerChange | undefined;
		const consider = (delta: number, placements: readonly Placement[]): void => {
			if (delta < 0 && (!best || -delta / placements.length > best.gain / best.placements.length)) {
				best = {placements, gain: -delta};
			}
		};

		this.searchSwaps(hot, consider);
		this.searchReplicas(hot, consider);
		return best && this.measure(best);
	}

	/** Carries a change out. */
	apply(change: LayerChange): void {
		for (const {rank, slot} of change.placements) {
			this.release(this.experts[(rank * this.slots) + slot], rank);
		}

		for (const {rank, slot, expert} of change.placements) {
			this.experts[(rank * this.slots) + slot] = expert;
			this.hold(expert, rank);
		}

		this.refresh();
	}

	/** The layer as a map. */
	toMap(): number[][] {
		return Array.from(this.rankLoads, (_load, rank) => [...this.experts.subarray(rank * this.slots, (rank + 1) * this.slots)]);
	}

	private searchSwaps(hot: number, consider: (delta: number, placements: readonly Placement[]) => void): void {
		for (let slot = 0; slot < this.slots; slot++) {
			const expert = this.experts[(hot * this.slots) + slot];
			const share = this.loads[expert] / this.counts[expert];
			for (let rank = 0; rank < this.rankLoads.length; rank++) {
				if (rank === hot || this.isOn(expert, rank)) {
					continue;
				}

				for (let otherSlot = 0; otherSlot < this.slots; otherSlot++) {
					const other = this.experts[(rank * this.slots) + otherSlot];
					const difference = share - (this.loads[other] / this.counts[other]);
					if (difference <= 0 || this.rankLoads[rank] + difference >= this.rankLoads[hot] || this.isOn(other, hot)) {
						continue;
					}

					const delta = this.power(this.rankLoads[hot] - difference) + this.power(this.rankLoads[rank] + difference)
						- this.powers[hot] - this.powers[rank];
					consider(delta, [{rank: hot, slot, expert: other}, {rank, slot: otherSlot, expert}]);
				}
			}
		}
	}

	/* One more replica of an expert of the hottest rank anywhere, or a lighter expert in place of one of its replicas. */
	private searchReplicas(hot: number, consider: (delta: number, placements: readonly Placement[]) => void): void {
		for (let index = 0; index < this.experts.length; index++) {
			const evicted = this.experts[index];
			if (this.counts[evicted] < 2) {
				continue;
			}

			const rank = Math.floor(index / this.slots);
			const slot = index % this.slots;
			if (rank === hot) {
				for (let expert = 0; expert < this.loads.length; expert++) {
					this.considerReplacement({rank, slot, expert}, evicted, consider);
				}
			} else {
				for (let hotIndex = hot * this.slots; hotIndex < (hot + 1) * this.slots; hotIndex++) {
					this.considerReplacement({rank, slot, expert: this.experts[hotIndex]}, evicted, consider);
				}
			}
		}
	}

	private considerReplacement(placement: Placement, evicted: number, consider: (delta: number, placements: readonly Placement[]) => void): void {
		const {rank, expert} = placement;
		if (expert === evicted || this.isOn(expert, rank)) {
			return;
		}

		const share = this.loads[expert] / this.counts[expert];
		const newShare = this.loads[expert] / (this.counts[expert] + 1);
		const evictedShare = this.loads[evicted] / this.counts[evicted];
		const newEvictedShare = this.loads[evicted] / (this.counts[evicted] - 1);
		this.touch(rank, newShare - evictedShare);
		for (const holder of this.holders[expert]) {
			this.touch(holder, newShare - share);
		}

		for (const holder of this.holders[evicted]) {
			if (holder !== rank) {
				this.touch(holder, newEvictedShare - evictedShare);
			}
		}

		let delta = 0;
		for (const holder of this.touched) {
			if (this.changes[holder] !== 0) {
				delta += this.power(this.rankLoads[holder] + this.changes[holder]) - this.powers[holder];
				this.changes[holder] = 0;
			}
		}

		this.touched.length = 0;
		consider(delta, [placement]);
	}

	private touch(rank: number, change: number): void {
		this.touched.push(rank);
		this.changes[rank] += change;
	}

	/* Turns the change of the power sum into tokens of the smoothed peak. */
	private measure(change: LayerChange): LayerChange | undefined {
		const before = this.powerSum ** (1 / order);
		const after = Math.max(0, this.powerSum - change.gain) ** (1 / order);
		const gain = (before - after) * this.mean;
		return gain > this.mean * leastGainShare ? {placements: change.placements, gain} : undefined;
	}

	private isOn(expert: number, rank: number): boolean {
		return this.isHeld[(expert * this.rankLoads.length) + rank] === 1;
	}

	private hold(expert: number, rank: number): void {
		this.counts[expert]++;
		this.holders[expert].push(rank);
		this.isHeld[(expert * this.rankLoads.length) + rank] = 1;
	}

	private release(expert: number, rank: number): void {
		this.counts[expert]--;
		this.holders[expert].splice(this.holders[expert].indexOf(rank), 1);
		this.isHeld[(expert * this.rankLoads.length) + rank] = 0;
	}

	private refresh(): void {
		this.rankLoads.fill(0);
		for (const [index, expert] of this.experts.entries()) {
			this.rankLoads[Math.floor(index / this.slots)] += this.loads[expert] / this.counts[expert];
		}

		this.powerSum = 0;
		for (const [rank, load] of this.rankLoads.entries()) {
			this.powers[rank] = this.power(load);
			this.powerSum += this.powers[rank];
		}
	}

	private power(load: number): number {
		let value = load / this.mean;
		for (let step = 0; step < squarings; step++) {
			value *= value;
		}

		return value;
	}

	private findHottest(): number {
		let hottest = 0;
		for (let rank = 1; rank < this.rankLoads.length; rank++) {
			if (this.rankLoads[rank] > this.rankLoads[hottest]) {
				hottest = rank;
			}
		}

		return hottest;
	}
}
