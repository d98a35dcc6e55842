import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type LinkMessage} from '../../src/link/link-message.js';
import {type EngineOrders} from '../../src/map-switch/engine-orders.js';
import {MapCoordinator} from '../../src/map-switch/map-coordinator.js';
import {MapParticipant} from '../../src/map-switch/map-participant.js';
import {EngineGroup} from '../../stand-ins/engine/engine-group.js';

type Parcel = {readonly to: number | 'coordinator'; readonly message: LinkMessage};

const tickMs = 100;

/** A group of ranks with its target processes, joined in memory; the scenario decides what arrives, and when. */
export class MapGroup {
	now = 0;
	readonly engines: EngineGroup;
	readonly participants: MapParticipant[] = [];
	coordinator: MapCoordinator;
	readonly commits: number[] = [];
	/** Messages on the way. */
	parcels: Parcel[] = [];
	/** Orders to rank 0's engine whose answer is lost after they took effect, still to come. */
	lostAnswers = 0;
	/** Fencing number that the platform names; undefined while the platform is down. */
	platformFence: number | undefined = 0;
	readonly random: () => number;
	/** Says of each message whether it is lost, and whether it is delivered twice. */
	isLost: (parcel: Parcel) => boolean;
	isDoubled: () => boolean;

	constructor(readonly ranks: number, readonly checksFencing: boolean, seed = 1) {
		this.isLost = () => false;
		this.isDoubled = () => false;
		this.engines = new EngineGroup(ranks, checksFencing);
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		for (let rank = 0; rank < ranks; rank++) {
			this.participants.push(this.makeParticipant(rank));
		}

		this.coordinator = this.makeCoordinator();
	}

	/** Puts a planner's proposal on the way. */
	propose(fence: number, epoch: number): void {
		this.platformFence = this.platformFence === undefined ? undefined : Math.max(this.platformFence, fence);
		this.parcels.push({
			to: 'coordinator',
			message: {
				type: 'map-propose', fence, epoch, step: 0, map: [[[fence]]],
			},
		});
	}

	restartParticipant(rank: number): void {
		this.participants[rank] = this.makeParticipant(rank);
	}

	restartCoordinator(): void {
		this.coordinator = this.makeCoordinator();
	}

	/** One turn: delivers what is on the way, lets every part see the time, and runs a step if all ranks can. */
	async turn(): Promise<boolean> {
		this.now += tickMs;
		const parcels = this.parcels.splice(0);
		for (const parcel of parcels) {
			if (!this.isLost(parcel)) {
				await this.deliver(parcel);
			}

			if (this.isDoubled()) {
				this.parcels.push(parcel);
			}
		}

		await this.coordinator.tick(this.now);
		for (const participant of this.participants) {
			await participant.tick(this.now);
		}

		return this.engines.advance();
	}

	async runTurns(count: number): Promise<void> {
		for (let turn = 0; turn < count; turn++) {
			await this.turn();
		}
	}

	/** Runs turns until a condition holds; false when it never did. */
	async runUntil(condition: () => boolean, mostTurns = 3000): Promise<boolean> {
		for (let turn = 0; turn < mostTurns && !condition(); turn++) {
			await this.turn();
		}

		return condition();
	}

	/** The epochs in use, without repetition. */
	get epochs(): number[] {
		return [...new Set(this.engines.ranks.map(({epoch}) => epoch))];
	}

	private async deliver({to, message}: Parcel): Promise<void> {
		await (to === 'coordinator' ? this.coordinator.receive(message, this.now) : this.participants[to].receive(message));
	}

	private readFence(): number {
		if (this.platformFence === undefined) {
			throw new Error('the platform is down');
		}

		return this.platformFence;
	}

	private makeParticipant(rank: number): MapParticipant {
		return new MapParticipant({
			rank,
			engine: this.makeOrders(rank),
			checksFencing: this.checksFencing,
			send: message => {
				this.parcels.push({to: 'coordinator', message});
			},
			readFence: async () => this.readFence(),
		});
	}

	private makeCoordinator(): MapCoordinator {
		return new MapCoordinator({
			ranks: this.ranks,
			engine: this.makeOrders(0),
			checksFencing: this.checksFencing,
			readFence: async () => this.readFence(),
			send: (to, message) => {
				this.parcels.push({to, message});
			},
			onCommit: epoch => {
				this.commits.push(epoch);
			},
			log: () => undefined,
		});
	}

	private makeOrders(rank: number): EngineOrders {
		const state = this.engines.ranks[rank];
		const order = async (fence: number, work: () => boolean): Promise<boolean> => {
			if (state.isStalled) {
				throw new Error('stalled');
			}

			const isTaken = this.engines.acceptFence(rank, fence) && work();
			if (rank === 0 && this.lostAnswers > 0) {
				this.lostAnswers--;
				throw new Error('answer lost');
			}

			return isTaken;
		};

		return {
			read: async () => ({
				step: this.engines.step, epoch: state.epoch, fence: this.checksFencing ? state.fence : 0, stagedEpoch: state.staged?.epoch, holdStep: state.holdStep, switchStep: state.switchStep,
			}),
			stage: async ({fence, epoch, map}) => order(fence, () => {
				state.staged = {epoch, map};
				return true;
			}),
			prepare: async ({fence, epoch, step}) => order(fence, () => {
				if (state.staged?.epoch !== epoch || this.engines.step > step) {
					return false;
				}

				state.holdStep = step;
				return true;
			}),
			decide: async ({fence, step, decision}) => order(fence, () => {
				const isCommit = decision === 'commit';
				state.switchStep = isCommit ? step : undefined;
				state.staged = isCommit ? state.staged : undefined;
				state.holdStep = undefined;
				return true;
			}),
		};
	}
}
