import {type Target} from '../../src/fleet/target.js';
import {type AnswerMetadata} from '../../src/forward/answer-metadata.js';
import {type SendOutcome} from '../../src/forward/send-outcome.js';

type Refusal = {
	/** Share of the requests that are refused, 0 to 1. */
	readonly share: number;
	/** Cooldown that is asked for, milliseconds; undefined for none. */
	readonly cooldownMs: number | undefined;
	/** Delay of the refusal, milliseconds. */
	readonly delayMs: number;
};

type Refused = {readonly metadata: AnswerMetadata; readonly outcome: SendOutcome; readonly delayMs: number};

/** Requests queued at a target beyond its slots before it refuses more. */
const queueLength = 4;

/** A target in memory: it runs as many requests as it has slots, and refuses requests as configured. */
export class SimulatedTarget {
	running = 0;
	refusal: Refusal | undefined;
	/** Cooldown that it asks for when it is full, milliseconds; undefined for none. */
	fullCooldownMs: number | undefined;
	/** Limit that it announces in its answers: requests per second from all entries together; undefined for none. */
	limit: number | undefined;
	/** Whether it has crashed and not restarted yet: connections to its address are refused. */
	isDown = false;
	/** Whether it closes the connection of each request without an answer. */
	isBreakingOff = false;
	/** Whether it announces in each answer that it is leaving. */
	isLeaving = false;

	/** Called when it crashes, for each request that it runs. */
	private readonly onCrashCallbacks = new Set<() => void>();

	constructor(public target: Target) {}

	/** The properties of the target in the heads of its answers. */
	get answerMetadata(): AnswerMetadata {
		return {
			status: 200,
			requestId: undefined,
			targetId: undefined,
			isNotRun: false,
			isGroupDown: false,
			isMisdirected: false,
			isSigned: true,
			isLeaving: this.isLeaving,
			retryAfterMs: undefined,
			limit: this.limit === undefined ? undefined : {perSecond: this.limit},
			retryAfterText: undefined,
		};
	}

	/** Refuses a request; undefined when the target accepts it. */
	refuse(chance: number): Refused | undefined {
		const isFull = this.running >= this.target.slots + queueLength;
		const isRefusing = this.refusal !== undefined && chance < this.refusal.share;
		if (!isFull && !isRefusing) {
			return undefined;
		}

		const cooldownMs = isRefusing ? this.refusal!.cooldownMs : this.fullCooldownMs;
		return {
			delayMs: this.refusal?.delayMs ?? 0,
			metadata: {
				...this.answerMetadata, status: 503, isNotRun: true, retryAfterMs: cooldownMs, retryAfterText: cooldownMs === undefined ? undefined : String(cooldownMs / 1000),
			},
			outcome: {
				kind: 'not-run', reason: 'target refused', wasSent: true, cause: 'busy',
			},
		};
	}

	/** Runs a request. `onLost` is called if the target crashes before it ends; returns a function that ends the request. */
	run(onLost: () => void): () => void {
		this.onCrashCallbacks.add(onLost);
		this.running++;
		return () => {
			if (this.onCrashCallbacks.delete(onLost)) {
				this.running--;
			}
		};
	}

	/** Crashes: all running requests are lost. */
	crash(): void {
		this.isDown = true;
		const onCrashCallbacks = [...this.onCrashCallbacks];
		this.onCrashCallbacks.clear();
		for (const onLost of onCrashCallbacks) {
			onLost();
		}
	}

	/** Restarts under its id, with no state from before. */
	restart(): void {
		this.target = {...this.target, bornAt: this.target.bornAt! + 1};
		this.refusal = undefined;
		this.isLeaving = false;
		this.isDown = false;
		this.running = 0;
		this.onCrashCallbacks.clear();
	}
}
