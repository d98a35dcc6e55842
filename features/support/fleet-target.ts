import {type Target} from '../../src/fleet/target.js';
import {type AnswerMetadata} from '../../src/forward/answer-metadata.js';
import {type SendOutcome} from '../../src/forward/send-outcome.js';

type Refusal = {
	/** Share of the requests that are turned away. */
	readonly share: number;
	/** Rest that is asked for; undefined when none is. */
	readonly restMs: number | undefined;
	/** How late it answers. */
	readonly lateMs: number;
};

type Refused = {readonly marks: AnswerMetadata; readonly outcome: SendOutcome; readonly lateMs: number};

/** Requests that wait at a target beyond its slots before it turns the next away. */
const queueLength = 4;

/** A target in memory: it serves as many requests as it has slots, or turns them away as it is told to. */
export class FleetTarget {
	running = 0;
	refusal: Refusal | undefined;
	/** Rest that it asks for when it is full; undefined when it asks for none. */
	fullRestMs: number | undefined;
	/** Requests per second that it takes from all entries together, as its answers say; undefined when it names none. */
	limit: number | undefined;
	/** Whether it has crashed and is not back yet: nobody listens at its address. */
	isDown = false;
	/** Says in each answer that it is about to leave. */
	isLeaving = false;

	/** What ends with it when it crashes: the requests that it runs. */
	private readonly losses = new Set<() => void>();

	constructor(public target: Target) {}

	/** What its answers say of it. */
	get marks(): AnswerMetadata {
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

	/** How it turns a request away; undefined when it takes it. */
	refuse(chance: number): Refused | undefined {
		const isFull = this.running >= this.target.slots + queueLength;
		const isRefusing = this.refusal !== undefined && chance < this.refusal.share;
		if (!isFull && !isRefusing) {
			return undefined;
		}

		const restMs = isRefusing ? this.refusal!.restMs : this.fullRestMs;
		return {
			lateMs: this.refusal?.lateMs ?? 0,
			marks: {
				...this.marks, status: 503, isNotRun: true, retryAfterMs: restMs, retryAfterText: restMs === undefined ? undefined : String(restMs / 1000),
			},
			outcome: {
				kind: 'not-run', reason: 'target refused', wasSent: true, cause: 'busy',
			},
		};
	}

	/** Has a request end if the target crashes before it is done; gives what is to be called then. */
	run(onLost: () => void): () => void {
		this.losses.add(onLost);
		this.running++;
		return () => {
			if (this.losses.delete(onLost)) {
				this.running--;
			}
		};
	}

	/** Crashes: all that it runs is cut off. */
	crash(): void {
		this.isDown = true;
		const losses = [...this.losses];
		this.losses.clear();
		for (const lose of losses) {
			lose();
		}
	}

	/** Starts again under its id: it knows nothing of before. */
	restart(): void {
		this.target = {...this.target, bornAt: this.target.bornAt! + 1};
		this.refusal = undefined;
		this.isLeaving = false;
		this.isDown = false;
		this.running = 0;
		this.losses.clear();
	}
}
