import {type AdmissionRequest} from './admission-request.js';
import {type AdmissionVerdict} from './admission-verdict.js';

type QueueOptions = {
	readonly concurrency: number;
	readonly queueLength: number;
	/** Waiting time that is worth one level of urgency, milliseconds. */
	readonly agingMs: number;
};

type QueuedRequest = {readonly request: AdmissionRequest; readonly finishTag: number};

/** How much of the newest sample enters the mean service time. */
const serviceTimeGain = 0.1;

/**
 * Decides which requests an engine runs now, later, or not at all.
 *
 * More urgent requests go first; waiting makes a request more urgent, so that none starves. Among equals,
 * organisations share by weight: start-time fair queueing over one virtual clock.
 *
 * @see https://dl.acm.org/doi/10.1145/248157.248171 start-time fair queueing
 */
export class AdmissionQueue {
	/** Mean time that the engine spends on one request, milliseconds; 0 until one has ended. */
	serviceMs = 0;

	private readonly queue: QueuedRequest[] = [];
	private readonly finishTags = new Map<string, number>();
	private readonly started = new Set<string>();
	private virtualTime = 0;

	constructor(private readonly options: QueueOptions) {}

	get running(): number {
		return this.started.size;
	}

	get waiting(): number {
		return this.queue.length;
	}

	/** Takes a request to run at once, to wait, or refuses it with the time after which to come back. */
	offer(request: AdmissionRequest, now: number): AdmissionVerdict {
		if (this.queue.length === 0 && this.started.size < this.options.concurrency) {
			this.started.add(request.id);
			this.tag(request);
			return {kind: 'start'};
		}

		const expectedWaitMs = this.expectWait(request, now);
		if (!request.mayWait) {
			return {kind: 'refuse', reason: 'busy', retryAfterMs: expectedWaitMs};
		}

		if (this.queue.length >= this.options.queueLength) {
			return {kind: 'refuse', reason: 'full', retryAfterMs: expectedWaitMs};
		}

		if (now + expectedWaitMs >= request.deadline) {
			return {kind: 'refuse', reason: 'late', retryAfterMs: expectedWaitMs};
		}

		this.queue.push({request, finishTag: this.tag(request)});
		return {kind: 'wait'};
	}

	/** Frees the place of a request that has ended after `serviceMs` milliseconds. */
	finish(id: string, serviceMs: number): void {
		if (this.started.delete(id)) {
			this.serviceMs = this.serviceMs === 0
				? serviceMs
				: this.serviceMs + (serviceTimeGain * (serviceMs - this.serviceMs));
		}
	}

	/** Starts the best waiting request if there is room; undefined when there is none. */
	startNext(now: number): AdmissionRequest | undefined {
		if (this.started.size >= this.options.concurrency || this.queue.length === 0) {
			return undefined;
		}

		let best = 0;
		for (let index = 1; index < this.queue.length; index++) {
			if (this.isBefore(this.queue[index], this.queue[best], now)) {
				best = index;
			}
		}

		const [chosen] = this.queue.splice(best, 1);
		this.virtualTime = Math.max(this.virtualTime, chosen.finishTag - (1 / chosen.request.weight));
		this.started.add(chosen.request.id);
		return chosen.request;
	}

	/** Removes and gives the waiting requests whose deadline has passed. */
	removeExpired(now: number): AdmissionRequest[] {
		const late = this.queue.filter(({request}) => request.deadline <= now).map(({request}) => request);
		for (const {id} of late) {
			this.remove(id);
		}

		return late;
	}

	/** Removes a waiting request; false when it is not waiting. */
	remove(id: string): boolean {
		const index = this.queue.findIndex(({request}) => request.id === id);
		if (index === -1) {
			return false;
		}

		this.queue.splice(index, 1);
		return true;
	}

	private tag(request: AdmissionRequest): number {
		const start = Math.max(this.virtualTime, this.finishTags.get(request.organisation) ?? 0);
		const finishTag = start + (1 / request.weight);
		this.finishTags.set(request.organisation, finishTag);
		if (this.queue.length === 0) {
			this.forgetIdle();
		}

		return finishTag;
	}

	/* An organisation whose tag lies behind the virtual clock starts afresh anyway. */
	private forgetIdle(): void {
		for (const [organisation, finishTag] of this.finishTags) {
			if (finishTag <= this.virtualTime) {
				this.finishTags.delete(organisation);
			}
		}
	}

	private expectWait(request: AdmissionRequest, now: number): number {
		const level = this.findLevel(request, now);
		const ahead = this.queue.filter(other => this.findLevel(other.request, now) <= level).length;
		const rounds = (ahead + 1) / this.options.concurrency;
		return rounds * this.serviceMs;
	}

	private findLevel(request: AdmissionRequest, now: number): number {
		return Math.floor(request.urgency - ((now - request.arrivedAt) / this.options.agingMs));
	}

	private isBefore(one: QueuedRequest, other: QueuedRequest, now: number): boolean {
		const difference = this.findLevel(one.request, now) - this.findLevel(other.request, now);
		return difference === 0 ? one.finishTag < other.finishTag : difference < 0;
	}
}
