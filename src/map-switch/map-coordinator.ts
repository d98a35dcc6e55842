import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type EngineClient} from './engine-client.js';

type CoordinatorOptions = {
	readonly ranks: number;
	/** Orders to rank 0's own engine, which keeps the decision while this process is replaced. */
	readonly engine: EngineClient;
	/** Sends a message to a rank's target process; rank 0's is this one. */
	readonly send: (rank: number, message: LinkMessage) => void;
	/** Highest fencing number that the platform names for the group; rejects while that is not known. */
	readonly readFence: () => Promise<number>;
	/** Whether the engine keeps fencing numbers; if not, the platform is asked after a restart. */
	readonly checksFencing: boolean;
	/** Called when a map came into force for the whole group. */
	readonly onCommit: (epoch: number, fence: number) => void;
	readonly log: (message: string) => void;
};

type Proposal = Omit<MessageOf<'map-propose'>, 'type'>;

const machine = createMachine('unread', {
	unread: state(transition('recovered', 'idle')),
	idle: state(transition('propose', 'staging')),
	staging: state(transition('staged', 'preparing'), transition('abandon', 'idle')),
	preparing: state(transition('decided', 'idle'), transition('abandon', 'idle')),
});

/** Steps between the last vote on staging and the switch: time for the promise to reach all ranks. */
const leadSteps = 20;
/** Longest wait for the weights of all ranks, and for their promises, milliseconds. */
const stageTimeoutMs = 120_000;
const prepareTimeoutMs = 5000;
/** Time after which an order that was not answered is sent again, milliseconds. */
const retryIntervalMs = 500;

/**
 * Leads map switches at rank 0's target process. Its decision is final; rank 0's engine is told first and so keeps
 * it. A group in lock-step stops anyway when rank 0 is lost, so waiting for its word costs nothing more.
 *
 * @see https://doi.org/10.1007/3-540-08755-9_9 two-phase commit
 */
export class MapCoordinator {
	private readonly service = interpret(machine, () => undefined);
	private fence = 0;
	private isFenceKnown = false;
	private proposal: Proposal | undefined;
	private votes = new Set<number>();
	private switchStep = 0;
	private phaseSince = 0;
	private sentAt = 0;
	/** The last decision: what ranks that ask are told. */
	private decided: Omit<MessageOf<'map-decision'>, 'type'> | undefined;
	private queue: Promise<void> = Promise.resolve();

	constructor(private readonly options: CoordinatorOptions) {}

	get state(): string {
		return this.service.machine.current;
	}

	/** Takes a proposal of a planner, a vote or a question of a rank; handled one after another. */
	async receive(message: LinkMessage, now: number): Promise<void> {
		const handled = this.queue.then(async () => this.handle(message, now));
		this.queue = handled.catch((error: unknown) => {
			this.options.log(`order to the engine of rank 0 failed: ${String(error)}`);
		});
		await this.queue;
	}

	/** Repeats orders that were not answered, and abandons a switch that takes too long. */
	async tick(now: number): Promise<void> {
		const limitMs = this.state === 'staging' ? stageTimeoutMs : prepareTimeoutMs;
		if (!this.proposal || this.state === 'idle') {
			return;
		}

		if (now - this.phaseSince > limitMs) {
			await this.abandon('not every rank answered in time');
		} else if (now - this.sentAt > retryIntervalMs) {
			this.sendOrders(now);
		}
	}

	private async abandon(reason: string): Promise<void> {
		this.queue = this.queue.then(async () => this.decide('abort', reason)).catch(() => undefined);
		await this.queue;
	}

	private async handle(message: LinkMessage, now: number): Promise<void> {
		if (this.state === 'unread') {
			await this.recover();
		}

		switch (message.type) {
			case 'map-propose': {
				await this.propose(message, now);
				break;
			}

			case 'map-vote': {
				await this.countVote(message, now);
				break;
			}

			case 'map-question': {
				this.answer(message);
				break;
			}

			default:
		}
	}

	/* A promise of rank 0's engine that this process cannot remember was never turned into a decision for others. */
	private async recover(): Promise<void> {
		const engine = await this.options.engine.read();
		this.fence = engine.fence;
		this.isFenceKnown = this.options.checksFencing;
		this.service.send('recovered');
		if (engine.holdStep !== undefined && engine.stagedEpoch !== undefined) {
			this.decided = {
				fence: engine.fence, epoch: engine.stagedEpoch, step: 0, decision: 'abort',
			};
			await this.options.engine.decide({type: 'map-decision', ...this.decided});
		} else if (engine.switchStep !== undefined && engine.stagedEpoch !== undefined) {
			this.decided = {
				fence: engine.fence, epoch: engine.stagedEpoch, step: engine.switchStep, decision: 'commit',
			};
		}
	}

	private async propose(proposal: Proposal, now: number): Promise<void> {
		if (!this.isFenceKnown) {
			// The number that the platform names may be that of this very proposal; only lower ones are old.
			this.fence = Math.max(this.fence, await this.options.readFence() - 1);
			this.isFenceKnown = true;
		}

		const {epoch, switchStep} = await this.options.engine.read();
		// A decision that is not yet in use is final as well: no other map may take its place.
		const isFree = this.state === 'idle' && switchStep === undefined;
		if (!isFree || proposal.fence <= this.fence || proposal.epoch !== epoch + 1) {
			this.options.log(`proposal ${proposal.fence} for epoch ${proposal.epoch} not taken in epoch ${epoch}`);
			return;
		}

		this.fence = proposal.fence;
		this.proposal = proposal;
		this.service.send('propose');
		this.enterPhase(now);
	}

	private enterPhase(now: number): void {
		this.votes = new Set();
		this.phaseSince = now;
		this.sendOrders(now);
	}

	private sendOrders(now: number): void {
		const {fence, epoch, map} = this.proposal!;
		this.sentAt = now;
		for (let rank = 0; rank < this.options.ranks; rank++) {
			if (!this.votes.has(rank)) {
				this.options.send(rank, this.state === 'staging'
					? {
						type: 'map-stage', fence, epoch, map,
					}
					: {
						type: 'map-prepare', fence, epoch, step: this.switchStep,
					});
			}
		}
	}

	private async countVote(vote: MessageOf<'map-vote'>, now: number): Promise<void> {
		const phase = this.state === 'staging' ? 'stage' : 'prepare';
		const isCurrent = this.state !== 'idle' && vote.fence === this.proposal?.fence && vote.phase === phase;
		if (!isCurrent) {
			return;
		}

		if (!vote.accepted) {
			await this.decide('abort', `rank ${vote.rank} refused to ${vote.phase}`);
			return;
		}

		this.votes.add(vote.rank);
		this.switchStep = phase === 'stage' ? Math.max(this.switchStep, vote.step + leadSteps) : this.switchStep;
		if (this.votes.size < this.options.ranks) {
			return;
		}

		if (phase === 'stage') {
			this.service.send('staged');
			this.enterPhase(now);
		} else {
			await this.decide('commit', 'every rank has promised');
		}
	}

	private async decide(decision: 'commit' | 'abort', reason: string): Promise<void> {
		if (!this.proposal || this.state === 'idle') {
			return;
		}

		const {fence, epoch} = this.proposal;
		const order: MessageOf<'map-decision'> = {
			type: 'map-decision', fence, epoch, step: this.switchStep, decision,
		};
		if (this.state === 'preparing') {
			await this.decideAtOwnEngine(order);
		}

		this.decided = order;
		this.proposal = undefined;
		this.switchStep = 0;
		this.options.log(`epoch ${epoch}, proposal ${fence}: ${decision}, ${reason}`);
		this.service.send(decision === 'commit' ? 'decided' : 'abandon');
		for (let rank = 0; rank < this.options.ranks; rank++) {
			this.options.send(rank, order);
		}

		if (decision === 'commit') {
			this.options.onCommit(epoch, fence);
		}
	}

	/* Nobody else is told before rank 0's engine is known to have it; a lost answer is settled by reading back. */
	private async decideAtOwnEngine(order: MessageOf<'map-decision'>): Promise<void> {
		try {
			await this.options.engine.decide(order);
		} catch {
			const {holdStep, switchStep, epoch} = await this.options.engine.read();
			const isApplied = order.decision === 'abort'
				? holdStep === undefined && switchStep === undefined
				: switchStep === order.step || epoch === order.epoch;
			if (!isApplied) {
				await this.options.engine.decide(order);
			}
		}
	}

	private answer({rank, fence, epoch}: MessageOf<'map-question'>): void {
		if (this.proposal?.epoch === epoch) {
			return;
		}

		// The epoch is enough, since processes that lost their memory may not know the fencing number: a rank that has
		// promised takes no other map, so no proposal for that epoch but the promised one can have been committed.
		const isCommitted = this.decided?.epoch === epoch && this.decided.decision === 'commit';
		// Any other promise belongs to a switch that was abandoned or never decided.
		this.options.send(rank, isCommitted
			? {type: 'map-decision', ...this.decided!, fence}
			: {
				type: 'map-decision', fence, epoch, step: 0, decision: 'abort',
			});
	}
}
