type StepRecord = {readonly step: number; readonly rank: number; readonly epoch: number; readonly map: number[][][] | undefined};
type StagedMap = {readonly epoch: number; readonly map: number[][][]};
type RankState = {
	epoch: number;
	/** Expert map in use; undefined for the map that the engine started with. */
	inUse: number[][][] | undefined;
	fence: number;
	staged: StagedMap | undefined;
	/** Step that the rank does not start before it receives the decision on the prepared map. */
	holdStep: number | undefined;
	/** Step at which the rank switches to the staged map. */
	switchStep: number | undefined;
	isStalled: boolean;
};

/** The ranks of a stand-in engine, which run in lockstep: a step runs on all ranks or on none. */
export class EngineGroup {
	step = 0;
	readonly records: StepRecord[] = [];
	readonly ranks: RankState[];
	/** Map that the engine starts with, and the expert loads that it reports; scenarios set both. */
	initialMap: number[][][];
	expertLoads: number[][] = [[1]];
	private readonly listeners = new Set<() => void>();

	/**
	 * @param size - number of ranks
	 * @param checksFencing - whether an order with an outdated fencing number is refused
	 */
	constructor(size: number, readonly checksFencing: boolean) {
		this.initialMap = [Array.from({length: size}, () => [0])];
		this.ranks = Array.from({length: size}, () => ({
			epoch: 0, inUse: undefined, fence: 0, staged: undefined, holdStep: undefined, switchStep: undefined, isStalled: false,
		}));
	}

	/** Runs one step on all ranks; returns false, without a step, if a rank is held or stalled. */
	advance(): boolean {
		const isBlocked = this.ranks.some(rank => rank.isStalled || (rank.holdStep !== undefined && this.step >= rank.holdStep));
		if (isBlocked) {
			return false;
		}

		for (const [index, rank] of this.ranks.entries()) {
			if (rank.switchStep !== undefined && this.step >= rank.switchStep && rank.staged) {
				rank.epoch = rank.staged.epoch;
				rank.inUse = rank.staged.map;
				rank.staged = undefined;
				rank.switchStep = undefined;
			}

			this.records.push({
				step: this.step, rank: index, epoch: rank.epoch, map: rank.inUse,
			});
		}

		this.step++;
		for (const listener of this.listeners) {
			listener();
		}

		return true;
	}

	/** Calls `listener` after each step until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => this.listeners.delete(listener);
	}

	/** Records the fencing number of an order for one rank; false if the number is outdated and the engine checks it. */
	acceptFence(rank: number, fence: number): boolean {
		const state = this.ranks[rank];
		if (this.checksFencing && fence < state.fence) {
			return false;
		}

		state.fence = Math.max(state.fence, fence);
		return true;
	}

	/** Finds the steps that ran with different maps on the ranks; there must be none. */
	findMixedSteps(): number[] {
		const maps = new Map<number, Set<string>>();
		for (const {step, epoch, map} of this.records) {
			maps.set(step, (maps.get(step) ?? new Set()).add(`${epoch} ${JSON.stringify(map)}`));
		}

		return [...maps].filter(([, seen]) => seen.size > 1).map(([step]) => step);
	}
}
