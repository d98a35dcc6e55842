import {type GracePeriod} from '../callers/grace-period.js';
import {makeStopProblem} from '../callers/make-stop-problem.js';
import {type Problem} from '../requests/problem.js';
import {RunTimes} from '../requests/run-times.js';
import {type ForwardExchange} from './forward-exchange.js';
import {stopDetail} from './stop-detail.js';

type Refuse = (problem: Problem) => void;

/** Refuses the requests that would not end before a process that stops. */
export class StopAdmission {
	private readonly runTimes = new RunTimes();
	/** Requests whose body still arrives, and how they are refused. */
	private readonly arriving = new Map<ForwardExchange, Refuse>();

	constructor(private readonly grace: GracePeriod) {}

	/** Whether nothing is sent any more, and running attempts have been ended. */
	get isOver(): boolean {
		return this.grace.isOver;
	}

	/** Records that a request has taken `ms` milliseconds at a target; `now` in milliseconds. */
	noteRun({route}: ForwardExchange, ms: number, now: number): void {
		this.runTimes.note(route!.name, ms, now);
	}

	/** Whether a request that is sent now ends before the process does; `hasBegun` if it may have run already. */
	hasTimeFor({route, deadline, isRetryable}: ForwardExchange, hasBegun: boolean, now: number): boolean {
		return !this.grace.hasBegun || this.grace.hasTimeFor({
			deadline, hasBegun, isRepeatable: isRetryable, expectedMs: this.runTimes.getLongestMs(route!.name, now),
		}, now);
	}

	/**
	 * Whether a silent attempt is worth moving to another target. Where nothing is known it is: the silent one is the less likely to end before
	 * the process does.
	 */
	hasTimeToMove({route, deadline}: ForwardExchange, now: number): boolean {
		return this.grace.hasTimeFor({deadline, hasBegun: true, expectedMs: this.runTimes.getLongestMs(route!.name, now) ?? 0}, now);
	}

	/** Returns the refusal of a request that has not been sent yet; undefined if it may be. */
	refuse(exchange: ForwardExchange, now: number): Problem | undefined {
		return this.hasTimeFor(exchange, false, now) ? undefined : makeStopProblem(stopDetail);
	}

	/** Has a request refused as soon as it would be sent too late, until the returned function is called. */
	watch(exchange: ForwardExchange, refuse: Refuse): () => void {
		this.arriving.set(exchange, refuse);
		return () => {
			this.arriving.delete(exchange);
		};
	}

	/** Has an attempt ended with the time for requests, until the returned function is called. */
	watchRun(end: () => void): () => void {
		return this.grace.watchRun(end);
	}

	/** Refuses the requests whose body would arrive too late; to be called at short intervals. */
	tick(now: number): void {
		if (!this.grace.hasBegun) {
			return;
		}

		for (const [exchange, refuse] of this.arriving) {
			const problem = this.refuse(exchange, now);
			if (problem) {
				refuse(problem);
			}
		}
	}
}
