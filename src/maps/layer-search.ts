import {type LayerChange} from './layer-change.js';

type Placement = LayerChange['placements'][number];
type SearchLimits = {
	readonly paces?: readonly number[];
	readonly canPlace?: (rank: number, expert: number) => boolean;
};

/* The peak is smoothed as a norm of the rank loads of this order, so that lowering one of several equally loaded ranks
 * already counts as a gain. The order must be a power of two, since powers are computed by squaring. */
const squarings = 4;
const normOrder = 2 ** squarings;
/** Gains below this share of the mean rank load are rounding errors. */
const minimumGainShare = 1e-6;
const noSlot = -1;
/** Standard deviations added to the expected load of a rank; the largest of many ranks lies about that far above its expectation. */
const riskDeviations = 1.5;

/**
 * Local search for better placements in one layer of a map. Uses flat arrays for speed, since the search evaluates every
 * exchange with the hottest rank many times per plan.
 */
export class LayerSearch {
	/** Expert in each slot, rank by rank. */
	private readonly experts: Int32Array;
	private readonly counts: Int32Array;
	private readonly holders: number[][];
	private readonly rankLoads: Float64Array;
	private readonly powers: Float64Array;
	private readonly isPlaced: Uint8Array;
	private readonly meanRankLoad: number;
	private readonly slots: number;
	/** Tokens of load for one unit of variance on a rank. */
	private readonly riskRate: number;
	private readonly touched: Int32Array;
	private readonly changes: Float64Array;
	/** The best change found so far in one search; `otherIndex` is set for a swap. */
	private readonly best = {
		gainPerCopy: 0, index: 0, expert: 0, otherIndex: noSlot,
	};

	private touchedCount = 0;
	private powerSum = 0;
	/** How many times slower each rank is with the same load. */
	private readonly paces: readonly number[];
	private readonly canPlace: (rank: number, expert: number) => boolean;

	/**
	 * @param map - expert ids on each rank
	 * @param loads - expected tokens of each expert
	 * @param variances - variance of each expert's load around its expectation
	 * @param limits - how many times slower each rank is (1 if absent), and which experts may be placed on it (any if absent)
	 */
	constructor(map: ReadonlyArray<readonly number[]>, private readonly loads: Float64Array, private readonly variances: Float64Array, limits: SearchLimits = {}) {
		const ranks = map.length;
		this.paces = limits.paces ?? Array.from({length: ranks}, () => 1);
		this.canPlace = limits.canPlace ?? (() => true);
		this.slots = map[0].length;
		this.experts = Int32Array.from(map.flat());
		this.counts = new Int32Array(loads.length);
		this.holders = Array.from({length: loads.length}, () => []);
		this.isPlaced = new Uint8Array(loads.length * ranks);
		this.rankLoads = new Float64Array(ranks);
		this.powers = new Float64Array(ranks);
		this.changes = new Float64Array(ranks);
		this.touched = new Int32Array((2 * ranks) + 1);
		let total = 0;
		for (const load of loads) {
			total += load;
		}

		this.meanRankLoad = total / ranks;
		for (const [index, expert] of this.experts.entries()) {
			this.addReplica(expert, Math.floor(index / this.slots));
		}

		this.riskRate = this.findRiskRate();
		this.refresh();
	}

	/** Largest rank load including its risk, tokens. */
	get peak(): number {
		let peak = 0;
		for (const load of this.rankLoads) {
			peak = Math.max(peak, load);
		}

		return peak;
	}

	/** Mean rank load, tokens. */
	get meanLoad(): number {
		return this.meanRankLoad;
	}

	/** Returns the standard deviation of the hottest rank's load, tokens. */
	getPeakDeviation(): number {
		return Math.sqrt(this.getVariance(this.findHottest()));
	}

	/** Finds the change with the highest gain per placed copy; undefined if none has a gain. */
	findBest(): LayerChange | undefined {
		const hot = this.findHottest();
		this.best.gainPerCopy = 0;
		this.searchSwaps(hot);
		this.searchReplicas(hot);
		return this.best.gainPerCopy > 0 ? this.describeBest() : undefined;
	}

	/** Applies a change. */
	apply(change: LayerChange): void {
		for (const {rank, slot} of change.placements) {
			this.removeReplica(this.experts[(rank * this.slots) + slot], rank);
		}

		for (const {rank, slot, expert} of change.placements) {
			this.experts[(rank * this.slots) + slot] = expert;
			this.addReplica(expert, rank);
		}

		this.refresh();
	}

	/** Returns the layer as a map: expert ids on each rank. */
	toMap(): number[][] {
		return Array.from(this.rankLoads, (_load, rank) => [...this.experts.subarray(rank * this.slots, (rank + 1) * this.slots)]);
	}

	private searchSwaps(hot: number): void {
		for (let index = hot * this.slots; index < (hot + 1) * this.slots; index++) {
			const expert = this.experts[index];
			const share = this.getReplicaLoad(expert, this.counts[expert]);
			for (let rank = 0; rank < this.rankLoads.length; rank++) {
				if (rank === hot || this.isOn(expert, rank)) {
					continue;
				}

				this.searchSwapsWith(hot, rank, index, share);
			}
		}
	}

	private searchSwapsWith(hot: number, rank: number, index: number, share: number): void {
		if (!this.canPlace(rank, this.experts[index])) {
			return;
		}

		for (let otherIndex = rank * this.slots; otherIndex < (rank + 1) * this.slots; otherIndex++) {
			const other = this.experts[otherIndex];
			const difference = share - this.getReplicaLoad(other, this.counts[other]);
			const added = difference * this.paces[rank];
			if (difference <= 0 || this.rankLoads[rank] + added >= this.rankLoads[hot] || this.isOn(other, hot) || !this.canPlace(hot, other)) {
				continue;
			}

			const delta = this.power(this.rankLoads[hot] - (difference * this.paces[hot])) + this.power(this.rankLoads[rank] + added)
				- this.powers[hot] - this.powers[rank];
			if (-delta / 2 > this.best.gainPerCopy) {
				this.best.gainPerCopy = -delta / 2;
				this.best.index = index;
				this.best.expert = other;
				this.best.otherIndex = otherIndex;
			}
		}
	}

	/* Considers one more replica, on any rank, of an expert of the hottest rank, and a lighter expert in place of one of that rank's replicas. */
	private searchReplicas(hot: number): void {
		const hotStart = hot * this.slots;
		const hotEnd = hotStart + this.slots;
		for (let index = 0; index < this.experts.length; index++) {
			const evicted = this.experts[index];
			if (this.counts[evicted] < 2) {
				continue;
			}

			if (index >= hotStart && index < hotEnd) {
				for (let expert = 0; expert < this.loads.length; expert++) {
					this.considerReplacement(index, expert, evicted);
				}
			} else {
				for (let hotIndex = hotStart; hotIndex < hotEnd; hotIndex++) {
					this.considerReplacement(index, this.experts[hotIndex], evicted);
				}
			}
		}
	}

	private considerReplacement(index: number, expert: number, evicted: number): void {
		const rank = Math.floor(index / this.slots);
		if (this.isOn(expert, rank) || !this.canPlace(rank, expert)) {
			return;
		}

		const share = this.getReplicaLoad(expert, this.counts[expert]);
		const newShare = this.getReplicaLoad(expert, this.counts[expert] + 1);
		const evictedShare = this.getReplicaLoad(evicted, this.counts[evicted]);
		const newEvictedShare = this.getReplicaLoad(evicted, this.counts[evicted] - 1);
		this.touch(rank, newShare - evictedShare);
		this.touchHolders(expert, newShare - share, noSlot);
		this.touchHolders(evicted, newEvictedShare - evictedShare, rank);

		const gainPerCopy = -this.sumTouchedChanges();
		if (gainPerCopy > this.best.gainPerCopy) {
			this.best.gainPerCopy = gainPerCopy;
			this.best.index = index;
			this.best.expert = expert;
			this.best.otherIndex = noSlot;
		}
	}

	/* Returns the change of the power sum over all touched ranks, and clears them. */
	private sumTouchedChanges(): number {
		let delta = 0;
		for (let position = 0; position < this.touchedCount; position++) {
			const rank = this.touched[position];
			if (this.changes[rank] !== 0) {
				delta += this.power(this.rankLoads[rank] + this.changes[rank]) - this.powers[rank];
				this.changes[rank] = 0;
			}
		}

		this.touchedCount = 0;
		return delta;
	}

	/* The expert that represents free slots has no load and may have more replicas than there are ranks; it changes nothing and is skipped. */
	private touchHolders(expert: number, change: number, exceptRank: number): void {
		if (change === 0) {
			return;
		}

		for (const holder of this.holders[expert]) {
			if (holder !== exceptRank) {
				this.touch(holder, change);
			}
		}
	}

	private touch(rank: number, change: number): void {
		this.touched[this.touchedCount++] = rank;
		this.changes[rank] += change * this.paces[rank];
	}

	/* Converts the change of the power sum to tokens of the smoothed peak. */
	private describeBest(): LayerChange | undefined {
		const {index, otherIndex, expert, gainPerCopy} = this.best;
		const placements = [this.makePlacement(index, expert)];
		if (otherIndex !== noSlot) {
			placements.push(this.makePlacement(otherIndex, this.experts[index]));
		}

		const before = this.powerSum ** (1 / normOrder);
		const after = Math.max(0, this.powerSum - (gainPerCopy * placements.length)) ** (1 / normOrder);
		const gain = (before - after) * this.meanRankLoad;
		return gain > this.meanRankLoad * minimumGainShare ? {placements, gain} : undefined;
	}

	private makePlacement(index: number, expert: number): Placement {
		return {rank: Math.floor(index / this.slots), slot: index % this.slots, expert};
	}

	private isOn(expert: number, rank: number): boolean {
		return this.isPlaced[(expert * this.rankLoads.length) + rank] === 1;
	}

	private addReplica(expert: number, rank: number): void {
		this.counts[expert]++;
		this.holders[expert].push(rank);
		this.isPlaced[(expert * this.rankLoads.length) + rank] = 1;
	}

	private removeReplica(expert: number, rank: number): void {
		this.counts[expert]--;
		this.holders[expert].splice(this.holders[expert].indexOf(rank), 1);
		this.isPlaced[(expert * this.rankLoads.length) + rank] = 0;
	}

	private refresh(): void {
		this.rankLoads.fill(0);
		for (const [index, expert] of this.experts.entries()) {
			const rank = Math.floor(index / this.slots);
			this.rankLoads[rank] += this.getReplicaLoad(expert, this.counts[expert]) * this.paces[rank];
		}

		this.powerSum = 0;
		for (const [rank, load] of this.rankLoads.entries()) {
			this.powers[rank] = this.power(load);
			this.powerSum += this.powers[rank];
		}
	}

	/* Load of one replica of an expert on its rank: its share of the expert's load, plus the risk of that share. */
	private getReplicaLoad(expert: number, count: number): number {
		return (this.loads[expert] / count) + (this.riskRate * this.variances[expert] / (count * count));
	}

	/* The risk of a rank is `riskDeviations` standard deviations of its load, linearised in the variance around the current mean variance. */
	private findRiskRate(): number {
		let variance = 0;
		for (let rank = 0; rank < this.rankLoads.length; rank++) {
			variance += this.getVariance(rank);
		}

		return variance === 0 ? 0 : riskDeviations / (2 * Math.sqrt(variance / this.rankLoads.length));
	}

	private getVariance(rank: number): number {
		let variance = 0;
		for (let index = rank * this.slots; index < (rank + 1) * this.slots; index++) {
			const expert = this.experts[index];
			variance += this.variances[expert] / (this.counts[expert] ** 2);
		}

		return variance;
	}

	private power(load: number): number {
		let value = load / this.meanRankLoad;
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
