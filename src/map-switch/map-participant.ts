import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type EngineClient} from './engine-client.js';

type ParticipantOptions = {
	readonly rank: number;
	readonly engine: EngineClient;
	/** Sends a message to the coordinator, at rank 0's target process. */
	readonly send: (message: LinkMessage) => void;
	/** Highest fencing number that the platform has stored for the group; rejects while it cannot be read. */
	readonly readFence: () => Promise<number>;
	/** Whether the engine itself refuses stale fencing numbers; if not, the platform's is read after a restart. */
	readonly checksFencing: boolean;
};

const machine = createMachine('unread', {
	/* State after a restart: the engine's state is read back before any order is sent to it. */
	unread: state(transition('idle', 'idle'), transition('held', 'prepared')),
	idle: state(transition('stage', 'staged'), transition('forget', 'unread')),
	staged: state(transition('stage', 'staged'), transition('held', 'prepared'), transition('over', 'idle'), transition('forget', 'unread')),
	prepared: state(transition('over', 'idle'), transition('forget', 'unread')),
});

/** Time between two questions to the coordinator while its decision is awaited, milliseconds. */
const questionIntervalMs = 200;

/**
 * One rank's participant in a map switch. Once it has voted to prepare for a step, its engine does not run that step before
 * the coordinator's decision is known; until then the participant repeats its question.
 */
export class MapParticipant {
	private readonly service = interpret(machine, () => undefined);
	private fence = 0;
	private isFenceKnown = false;
	private epoch = 0;
	private askedAt = 0;
	private queue: Promise<void> = Promise.resolve();

	constructor(private readonly options: ParticipantOptions) {}

	get state(): string {
		return this.service.machine.current;
	}

	/** Restores its state from the engine and the platform; a restarted process accepts no orders before that. */
	async recover(): Promise<void> {
		const engine = await this.options.engine.read();
		this.epoch = engine.stagedEpoch ?? engine.epoch;
		this.fence = Math.max(this.fence, engine.fence);
		this.isFenceKnown ||= this.options.checksFencing;
		if (engine.holdStep !== undefined) {
			// The group waits for this rank, so it asks for the decision at once, with the fencing number that it knows.
			this.service.send('held');
			return;
		}

		if (!this.isFenceKnown) {
			this.fence = Math.max(this.fence, await this.options.readFence());
			this.isFenceKnown = true;
		}

		this.service.send('idle');
	}

	/** Handles a message of the coordinator; messages are handled one at a time. */
	async receive(message: LinkMessage): Promise<void> {
		await this.enqueue(async () => this.handle(message));
	}

	/** Asks the coordinator for its decision if one is awaited. */
	async tick(now: number): Promise<void> {
		if (this.state === 'unread') {
			await this.enqueue(async () => this.recover());
		}

		if (this.state === 'prepared' && now - this.askedAt >= questionIntervalMs) {
			this.askedAt = now;
			this.options.send({
				type: 'map-question', rank: this.options.rank, fence: this.fence, epoch: this.epoch,
			});
		}
	}

	/* After a failure it is unknown which orders the engine took, so its state is read back before anything else. */
	private async enqueue(work: () => Promise<void>): Promise<void> {
		this.queue = this.queue.then(work).catch(() => {
			this.service.send('forget');
		});
		await this.queue;
	}

	private async handle(message: LinkMessage): Promise<void> {
		if (this.state === 'unread') {
			await this.recover();
		}

		switch (message.type) {
			case 'map-stage': {
				await this.stage(message);
				break;
			}

			case 'map-prepare': {
				await this.prepare(message);
				break;
			}

			case 'map-decision': {
				await this.decide(message);
				break;
			}

			default:
		}
	}

	private async stage(order: MessageOf<'map-stage'>): Promise<void> {
		// An equal fencing number means a repeated order; a lower one comes from a superseded planner.
		const isStale = order.fence < this.fence || this.state === 'prepared';
		const {holdStep, switchStep} = await this.options.engine.read();
		const isBound = holdStep !== undefined || switchStep !== undefined;
		const accepted = !isStale && !isBound && await this.options.engine.stage(order);
		if (accepted) {
			this.fence = order.fence;
			this.epoch = order.epoch;
			this.service.send('stage');
		}

		await this.vote(order, 'stage', accepted);
	}

	private async prepare(order: MessageOf<'map-prepare'>): Promise<void> {
		const isCurrent = order.fence === this.fence && order.epoch === this.epoch;
		const accepted = isCurrent && (this.state === 'prepared' || (this.state === 'staged' && await this.options.engine.prepare(order)));
		if (accepted) {
			this.service.send('held');
		}

		await this.vote(order, 'prepare', accepted);
	}

	private async decide(order: MessageOf<'map-decision'>): Promise<void> {
		const isCurrent = order.fence === this.fence && order.epoch === this.epoch;
		if (!isCurrent || order.decision === 'undecided' || this.state === 'idle') {
			return;
		}

		if (order.decision === 'commit' && this.state !== 'prepared') {
			return;
		}

		// If the engine is not held, either the coordinator has already sent it the decision (rank 0) or it was never prepared.
		const {holdStep} = await this.options.engine.read();
		if (holdStep === undefined || await this.options.engine.decide(order)) {
			this.service.send(this.isFenceKnown ? 'over' : 'forget');
		}
	}

	private async vote(order: {readonly fence: number; readonly epoch: number}, phase: 'stage' | 'prepare', accepted: boolean): Promise<void> {
		const {step} = await this.options.engine.read();
		this.options.send({
			type: 'map-vote', rank: this.options.rank, fence: order.fence, epoch: order.epoch, phase, accepted, step,
		});
	}
}
