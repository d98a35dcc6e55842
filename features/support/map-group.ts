import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type LinkMessage} from '../../src/link/link-message.js';
import {type EngineClient} from '../../src/map-switch/engine-client.js';
import {MapCoordinator} from '../../src/map-switch/map-coordinator.js';
import {MapParticipant} from '../../src/map-switch/map-participant.js';
import {EngineGroup} from '../../stand-ins/engine/engine-group.js';

type Envelope = {readonly to: number | 'coordinator'; readonly message: LinkMessage};

const tickMs = 100;

/** A group of ranks with its target processes, connected in memory; the scenario decides which messages arrive, and when. */
export class MapGroup {
	now = 0;
	readonly engines: EngineGroup;
	readonly participants: MapParticipant[] = [];
	coordinator: MapCoordinator;
	readonly commits: number[] = [];
	/** Messages in transit. */
	envelopes: Envelope[] = [];
	/** Number of future orders to rank 0's engine whose answer is lost after they took effect. */
	lostAnswers = 0;
	/** Fencing number that the platform has stored; undefined while the platform is down. */
	platformFence: number | undefined = 0;
	readonly random: () => number;
	/** Whether a message is lost, and whether it is delivered twice. */
	isLost: (parcel: Envelope) => boolean;
	isDuplicated: () => boolean;

	constructor(readonly ranks: number, readonly checksFencing: boolean, seed = 1) {
		this.isLost = () => false;
		this.isDuplicated = () => false;
		this.engines = new EngineGroup(ranks, checksFencing);
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		for (let rank = 0; rank < ranks; rank++) {
			this.participants.push(this.makeParticipant(rank));
		}

		this.coordinator = this.makeCoordinator();
	}

	/** Sends a planner's proposal. */
	propose(fence: number, epoch: number): void {
		this.platformFence = this.platformFence === undefined ? undefined : Math.max(this.platformFence, fence);
		this.envelopes.push({
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

	/** Runs one turn: delivers the messages in transit, ticks every process, and runs a step if all ranks can. */
	async turn(): Promise<boolean> {
		this.now += tickMs;
		const due = this.envelopes.splice(0);
		for (const envelope of due) {
			if (!this.isLost(envelope)) {
				await this.deliver(envelope);
			}

			if (this.isDuplicated()) {
				this.envelopes.push(envelope);
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

	/** Runs turns until a condition holds; returns whether it did. */
	async runUntil(condition: () => boolean, maximumTurns = 3000): Promise<boolean> {
		for (let turn = 0; turn < maximumTurns && !condition(); turn++) {
			await this.turn();
		}

		return condition();
	}

	/** The distinct epochs in use. */
	get epochs(): number[] {
		return [...new Set(this.engines.ranks.map(({epoch}) => epoch))];
	}

	private async deliver({to, message}: Envelope): Promise<void> {
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
			engine: this.makeEngineClient(rank),
			checksFencing: this.checksFencing,
			send: message => {
				this.envelopes.push({to: 'coordinator', message});
			},
			readFence: async () => this.readFence(),
		});
	}

	private makeCoordinator(): MapCoordinator {
		return new MapCoordinator({
			ranks: this.ranks,
			engine: this.makeEngineClient(0),
			checksFencing: this.checksFencing,
			readFence: async () => this.readFence(),
			send: (to, message) => {
				this.envelopes.push({to, message});
			},
			onCommit: epoch => {
				this.commits.push(epoch);
			},
			log: () => undefined,
		});
	}

	private makeEngineClient(rank: number): EngineClient {
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
