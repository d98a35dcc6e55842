import {type AdmissionRequest} from './admission-request.js';
import {type AdmissionVerdict} from './admission-verdict.js';

type QueueOptions = {
	/** Requests that run at once. */
	readonly concurrency: number;
	/** Requests that may wait. */
	readonly queueLength: number;
	/** Waiting time that raises a request by one level of urgency, milliseconds. */
	readonly agingMs: number;
};

type QueuedRequest = {readonly request: AdmissionRequest; readonly finishTag: number};

/** Weight of the newest sample in the moving average of the service time. */
const serviceTimeGain = 0.1;

/**
 * Decides whether an engine runs a request now, later or not at all.
 *
 * More urgent requests run first; waiting raises the urgency, so that no request starves. At the same level,
 * organisations share the engine by weight: start-time fair queueing over one virtual clock.
 *
 * @see https://dl.acm.org/doi/10.1145/248157.248171 start-time fair queueing
 */
export class AdmissionQueue {
	/** Moving average of the engine's time per request, milliseconds; 0 until one has finished. */
	serviceMs = 0;

	private readonly queue: QueuedRequest[] = [];
	private readonly finishTags = new Map<string, number>();
	private readonly started = new Set<string>();
	private virtualTime = 0;

	constructor(private readonly options: QueueOptions) {}

	/** Requests running. */
	get running(): number {
		return this.started.size;
	}

	/** Requests queued. */
	get waiting(): number {
		return this.queue.length;
	}

	/** Starts or queues a request, or refuses it with the time after which to retry; `now` in milliseconds. */
	offer(request: AdmissionRequest, now: number): AdmissionVerdict {
		if (this.queue.length === 0 && this.started.size < this.options.concurrency) {
			this.started.add(request.id);
			this.assignFinishTag(request);
			return {kind: 'start'};
		}

		const expectedWaitMs = this.estimateWaitMs(request, now);
		if (!request.mayWait) {
			return {kind: 'refuse', reason: 'busy', retryAfterMs: expectedWaitMs};
		}

		if (this.queue.length >= this.options.queueLength) {
			return {kind: 'refuse', reason: 'full', retryAfterMs: expectedWaitMs};
		}

		if (now + expectedWaitMs >= request.deadline) {
			return {kind: 'refuse', reason: 'late', retryAfterMs: expectedWaitMs};
		}

		this.queue.push({request, finishTag: this.assignFinishTag(request)});
		return {kind: 'wait'};
	}

	/** Notes that a running request has finished after `serviceMs` milliseconds. */
	finish(id: string, serviceMs: number): void {
		if (this.started.delete(id)) {
			this.serviceMs = this.serviceMs === 0
				? serviceMs
				: this.serviceMs + (serviceTimeGain * (serviceMs - this.serviceMs));
		}
	}

	/** Starts the next queued request if there is capacity; undefined otherwise. */
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

	/** Removes and returns the queued requests whose deadline has passed. */
	removeExpired(now: number): AdmissionRequest[] {
		const expired = this.queue.filter(({request}) => request.deadline <= now).map(({request}) => request);
		for (const {id} of expired) {
			this.remove(id);
		}

		return expired;
	}

	/** Removes a queued request; false when it is not queued. */
	remove(id: string): boolean {
		const index = this.queue.findIndex(({request}) => request.id === id);
		if (index === -1) {
			return false;
		}

		this.queue.splice(index, 1);
		return true;
	}

	private assignFinishTag(request: AdmissionRequest): number {
		const start = Math.max(this.virtualTime, this.finishTags.get(request.organisation) ?? 0);
		const finishTag = start + (1 / request.weight);
		this.finishTags.set(request.organisation, finishTag);
		if (this.queue.length === 0) {
			this.evictIdleTags();
		}

		return finishTag;
	}

	/* A tag behind the virtual clock has no effect, so it need not be kept. */
	private evictIdleTags(): void {
		for (const [organisation, finishTag] of this.finishTags) {
			if (finishTag <= this.virtualTime) {
				this.finishTags.delete(organisation);
			}
		}
	}

	private estimateWaitMs(request: AdmissionRequest, now: number): number {
		const level = this.getUrgencyLevel(request, now);
		const ahead = this.queue.filter(other => this.getUrgencyLevel(other.request, now) <= level).length;
		const rounds = (ahead + 1) / this.options.concurrency;
		return rounds * this.serviceMs;
	}

	private getUrgencyLevel(request: AdmissionRequest, now: number): number {
		return Math.floor(request.urgency - ((now - request.arrivedAt) / this.options.agingMs));
	}

	private isBefore(one: QueuedRequest, other: QueuedRequest, now: number): boolean {
		const difference = this.getUrgencyLevel(one.request, now) - this.getUrgencyLevel(other.request, now);
		return difference === 0 ? one.finishTag < other.finishTag : difference < 0;
	}
}
