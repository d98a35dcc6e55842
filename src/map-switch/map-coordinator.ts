import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type EngineClient} from './engine-client.js';

type CoordinatorOptions = {
	readonly ranks: number;
	/** Rank 0's own engine, which keeps the decision when this process restarts. */
	readonly engine: EngineClient;
	/** Sends a message to a rank's target process; rank 0's is this one. */
	readonly send: (rank: number, message: LinkMessage) => void;
	/** Highest fencing number that the platform has stored for the group; rejects while it cannot be read. */
	readonly readFence: () => Promise<number>;
	/** Whether the engine keeps fencing numbers; if not, the platform's is read after a restart. */
	readonly checksFencing: boolean;
	/** Called when a switch is committed. */
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

/** Steps between the last vote on staging and the switch: time for the order to prepare to reach all ranks. */
const leadSteps = 20;
/** Maximum time for all ranks to stage the weights, and to prepare, milliseconds. */
const stageTimeoutMs = 120_000;
const prepareTimeoutMs = 5000;
/** Time after which an unanswered order is sent again, milliseconds. */
const retryIntervalMs = 500;

/**
 * Coordinates map switches at rank 0's target process by two-phase commit. Its decision is final, and rank 0's engine
 * receives it first and so persists it. A lock-step group stops when rank 0 is lost in any case, so waiting for its
 * decision costs nothing more.
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
	/** The last decision, for ranks that ask for it. */
	private decided: Omit<MessageOf<'map-decision'>, 'type'> | undefined;
	private queue: Promise<void> = Promise.resolve();

	constructor(private readonly options: CoordinatorOptions) {}

	get state(): string {
		return this.service.machine.current;
	}

	/** Handles a planner's proposal, or a rank's vote or question; messages are handled one at a time. */
	async receive(message: LinkMessage, now: number): Promise<void> {
		const handled = this.queue.then(async () => this.handle(message, now));
		this.queue = handled.catch((error: unknown) => {
			this.options.log(`order to the engine of rank 0 failed: ${String(error)}`);
		});
		await this.queue;
	}

	/** Repeats unanswered orders, and aborts a switch that takes too long. */
	async tick(now: number): Promise<void> {
		const limitMs = this.state === 'staging' ? stageTimeoutMs : prepareTimeoutMs;
		if (!this.proposal || this.state === 'idle') {
			return;
		}

		if (now - this.phaseSince > limitMs) {
			await this.abandon('not all ranks answered in time');
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

	/* If rank 0's engine is still held after a restart of this process, no decision was sent to other ranks: the switch is aborted. */
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
			// The platform's number may be that of this proposal itself; only lower ones are stale.
			this.fence = Math.max(this.fence, await this.options.readFence() - 1);
			this.isFenceKnown = true;
		}

		const {epoch, switchStep} = await this.options.engine.read();
		// A committed map that is not in use yet cannot be replaced by another one.
		const isFree = this.state === 'idle' && switchStep === undefined;
		if (!isFree || proposal.fence <= this.fence || proposal.epoch !== epoch + 1) {
			this.options.log(`proposal ${proposal.fence} for epoch ${proposal.epoch} rejected in epoch ${epoch}`);
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
			await this.decide('commit', 'all ranks are prepared');
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

	/* No other rank receives the decision before rank 0's engine is known to have it. If the answer is lost, the engine's state is read back. */
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

		// Compared by epoch only, since a restarted process may not know the fencing number. A prepared rank takes no
		// other map, so only the proposal that it prepared can have been committed for that epoch.
		const isCommitted = this.decided?.epoch === epoch && this.decided.decision === 'commit';
		// Otherwise the rank prepared for a switch that was aborted or never decided.
		this.options.send(rank, isCommitted
			? {type: 'map-decision', ...this.decided!, fence}
			: {
				type: 'map-decision', fence, epoch, step: 0, decision: 'abort',
			});
	}
}
