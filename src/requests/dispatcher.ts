import {err, ok, type Result} from 'neverthrow';
import {type GracePeriod} from '../callers/grace-period.js';
import {makeStopProblem} from '../callers/make-stop-problem.js';
import {type TargetLink} from '../calls/target-link.js';
import {type TargetPool} from '../calls/target-pool.js';
import {type MessageOf} from '../link/message-of.js';
import {type RunGuard} from '../once/run-guard.js';
import {type RunPermit} from '../once/run-permit.js';
import {writeTraceParent} from '../tracing/write-trace-parent.js';
import {type AttemptResult} from './attempt-result.js';
import {type Exchange} from './exchange.js';
import {followCall} from './follow-call.js';
import {Problem} from './problem.js';
import {type RetryBudget} from './retry-budget.js';
import {RunTimes} from './run-times.js';

type DispatcherOptions = {
	readonly pool: TargetPool;
	readonly budget: RetryBudget;
	readonly maximumAttempts: number;
	/** The time that a planned stop of this process leaves. */
	readonly grace: GracePeriod;
	readonly clock: () => number;
	readonly random: () => number;
	readonly tableVersion: () => number;
	readonly onRefusal: (reason: string) => void;
	readonly onRetry: (isAllowed: boolean) => void;
};

type JoinPermit = Extract<RunPermit, {kind: 'join'}>;
type Progress = {
	attempt: number;
	/** Attempts that a busy target refused at once; they do not count towards `maximumAttempts`. */
	probeAttempts: number;
	/** How many more targets may be sent the request with `mayWait` unset, so that a busy one refuses it at once. */
	probesLeft: number;
	/** Targets that refused as busy, with the wait that each expects, milliseconds. */
	readonly busy: Map<string, number>;
	retryAfterMs: number;
	reason: string;
	/** Why the last attempt that may have run was lost; undefined while none has been. */
	lostReason: string | undefined;
	readonly excluded: Set<string>;
};

const defaultRetryAfterMs = 1000;
/** Targets that may refuse a request as busy before it is queued at one of them. */
const maximumProbes = 4;
const stopReason = 'this entry stops before the request would have its answer';
const forwardedHeaders = ['content-type', 'accept', 'accept-language', 'traceparent', 'tracestate', 'idempotency-key'];

/** Sends requests to targets. An attempt is repeated where that is safe and, after a lost answer, where the retry budget allows it. */
export class Dispatcher {
	private readonly runTimes = new RunTimes();

	constructor(private readonly options: DispatcherOptions) {}

	/** Runs a request to its end: either its answer has been relayed to the caller, or the problem is returned. */
	async run(exchange: Exchange, guard: RunGuard): Promise<Result<void, Problem>> {
		const progress: Progress = {
			attempt: 0, probeAttempts: 0, probesLeft: maximumProbes, busy: new Map(), retryAfterMs: 0, reason: 'no target is ready', lostReason: undefined, excluded: new Set(),
		};
		this.options.budget.deposit();
		while (progress.attempt - progress.probeAttempts < this.options.maximumAttempts) {
			if (!this.hasTime(exchange, guard, progress)) {
				return this.refuseLate(guard, progress);
			}

			const link = this.chooseLink(exchange, guard, progress);
			if (!link) {
				break;
			}

			const ended = await this.tryTarget(exchange, guard, link, progress);
			if (ended) {
				return ended;
			}
		}

		return this.giveUp(exchange, guard, progress);
	}

	/* Whether an attempt that begins now ends before this process does. A caller with a key can repeat its request elsewhere if it is cut. */
	private hasTime({deadline, service, key}: Exchange, guard: RunGuard, {lostReason}: Progress): boolean {
		const now = this.options.clock();
		return this.options.grace.hasTimeFor({
			deadline, hasBegun: lostReason !== undefined, isRepeatable: guard.isRepeatable || key !== undefined, expectedMs: this.runTimes.getLongestMs(service, now),
		}, now);
	}

	private async refuseLate(guard: RunGuard, {lostReason}: Progress): Promise<Result<void, Problem>> {
		const keyState = await guard.abandon();
		return err(lostReason === undefined ? makeStopProblem(stopReason, keyState) : makeUnknownProblem(`${lostReason}; not sent again: ${stopReason}`, false, guard));
	}

	private chooseLink(exchange: Exchange, guard: RunGuard, progress: Progress): TargetLink | undefined {
		if (progress.busy.size >= maximumProbes) {
			return this.takeLeastBusy(progress);
		}

		if (guard.target !== undefined) {
			const link = this.options.pool.get(guard.target);
			return link?.isReady && !progress.excluded.has(guard.target) ? link : undefined;
		}

		const now = this.options.clock();
		const link = this.options.pool.choose({
			service: exchange.service,
			prefixHash: exchange.prefixHash,
			random: this.options.random,
			excluded: progress.excluded,
			now,
		});
		// No other target can be chosen: the request waits at the least busy one of those that were asked.
		return link ?? (progress.busy.size > 0 ? this.takeLeastBusy(progress) : undefined);
	}

	/* A busy refusal carries the target's current wait, which is fresher than its last load report: the shortest wait wins. */
	private takeLeastBusy(progress: Progress): TargetLink | undefined {
		const [least] = [...progress.busy].toSorted(([, one], [, other]) => one - other);
		progress.busy.clear();
		progress.probesLeft = 0;
		const link = this.options.pool.get(least[0]);
		return link?.isReady ? link : undefined;
	}

	/* Returns the result of the request, or undefined when another target may be tried. */
	private async tryTarget(exchange: Exchange, guard: RunGuard, link: TargetLink, progress: Progress): Promise<Result<void, Problem> | undefined> {
		const permit = await exchange.trace('guard', async () => guard.admit(link));
		if (permit.isErr()) {
			return err(permit.error);
		}

		progress.attempt++;
		if (permit.value.kind === 'join') {
			return this.joinFirstRun(exchange, guard, permit.value, progress.attempt);
		}

		const timeoutMs = exchange.deadline - this.options.clock();
		if (timeoutMs <= 0) {
			progress.reason = 'late';
			progress.attempt = this.options.maximumAttempts + progress.probeAttempts;
			return undefined;
		}

		const {once} = permit.value;
		exchange.noteDecision(`attempt ${progress.attempt} at ${link.vm.id}`);
		const startedAt = this.options.clock();
		const result = await exchange.trace('link', async span => {
			const request = this.makeRequest(exchange, progress, timeoutMs, once);
			writeTraceParent(span, request.headers);
			return followCall(link.request(request), {
				link, exchange, timeoutMs, mayCancel: once === undefined, grace: this.options.grace,
			});
		});
		if (result.kind !== 'not-run') {
			const now = this.options.clock();
			this.runTimes.note(exchange.service, now - startedAt, now);
		}

		return this.handleResult(result, exchange, guard, link, progress);
	}

	private handleResult(result: AttemptResult, exchange: Exchange, guard: RunGuard, link: TargetLink, progress: Progress): Result<void, Problem> | undefined {
		const now = this.options.clock();
		const {id} = link.vm;
		if (result.kind === 'answered') {
			this.options.pool.noteResult(id, result.isComplete || exchange.callerAbort.signal.aborted, now);
			exchange.noteDecision(result.isComplete ? `answered whole by ${id}` : `answer of ${id} broke off`);
			return ok();
		}

		exchange.noteDecision(`${id}: ${result.kind}, ${result.reason}`);
		progress.reason = result.reason;
		if (result.kind === 'not-run') {
			this.noteRefusal(result, guard, id, progress);
			return undefined;
		}

		const isGivenUp = exchange.callerAbort.signal.aborted || now >= exchange.deadline || this.options.grace.isOver;
		this.options.pool.noteResult(id, isGivenUp, now);
		if (isGivenUp || !guard.isRepeatable) {
			return err(makeUnknownProblem(result.reason, now >= exchange.deadline, guard));
		}

		progress.lostReason = result.reason;
		const isAllowed = this.options.budget.tryWithdraw();
		this.options.onRetry(isAllowed);
		progress.excluded.add(id);
		return isAllowed ? undefined : err(makeUnknownProblem(`${result.reason}; the budget of retries is spent`, false, guard));
	}

	private noteRefusal(result: Extract<AttemptResult, {kind: 'not-run'}>, guard: RunGuard, id: string, progress: Progress): void {
		this.options.onRefusal(result.reason);
		progress.retryAfterMs = Math.max(progress.retryAfterMs, result.retryAfterMs);
		const isTargetFault = result.reason === 'unavailable' || result.reason === 'unsent';
		this.options.pool.noteResult(id, !isTargetFault, this.options.clock());
		switch (result.reason) {
			case 'cancelled':
			case 'duplicate': {
				guard.noteOwnershipRefused();
				break;
			}

			case 'busy': {
				// A busy refusal costs a round trip but does not count as an attempt.
				progress.probesLeft--;
				progress.probeAttempts++;
				progress.busy.set(id, result.retryAfterMs);
				progress.excluded.add(id);
				break;
			}

			default: {
				progress.excluded.add(id);
			}
		}
	}

	/* Another request with the same key came first: its answer is relayed, if its target process still keeps it. */
	private async joinFirstRun(exchange: Exchange, guard: RunGuard, first: JoinPermit, attempt: number): Promise<Result<void, Problem> | undefined> {
		exchange.noteDecision(`joins request ${first.owner} at ${first.target}`);
		const link = this.options.pool.get(first.target);
		if (!link?.isReady || link.incarnation !== first.incarnation) {
			return err(makeKeyUsedProblem('the target process that has it cannot be reached, or was replaced', 'unknown'));
		}

		const timeoutMs = Math.max(0, exchange.deadline - this.options.clock());
		exchange.response.setHeader('wardswitch-replayed', 'true');
		const call = link.request({
			type: 'attach', id: exchange.id, attempt, key: first.key, owner: first.owner,
		});
		const result = await followCall(call, {
			link, exchange, timeoutMs, mayCancel: false, grace: this.options.grace,
		});
		exchange.noteDecision(`${first.target}: ${result.kind}`);
		if (result.kind === 'answered') {
			return ok();
		}

		exchange.response.removeHeader('wardswitch-replayed');
		if (result.kind === 'not-run' && result.reason === 'unknown-call') {
			guard.takeOver();
			return undefined;
		}

		return result.kind === 'not-run' && result.reason === 'duplicate'
			? err(makeKeyUsedProblem('it ran, and its answer is no longer kept', 'used'))
			: err(makeKeyUsedProblem(result.reason, 'unknown'));
	}

	private async giveUp(exchange: Exchange, guard: RunGuard, progress: Progress): Promise<Result<void, Problem>> {
		const keyState = await guard.abandon();
		if (progress.lostReason !== undefined) {
			return err(makeUnknownProblem(`${progress.lostReason}; not sent again: ${progress.reason}`, false, guard));
		}

		const isLate = progress.reason === 'late' || progress.reason === 'expired';
		return err(new Problem({
			status: isLate ? 504 : 503,
			title: isLate ? 'Too late to run' : 'No target takes the request',
			detail: `no target of ${exchange.service} ran the request; the last reason was: ${progress.reason}`,
			outcome: 'not-run',
			retryAfterMs: Math.max(progress.retryAfterMs, defaultRetryAfterMs),
			keyState,
		}));
	}

	private makeRequest(exchange: Exchange, progress: Progress, timeoutMs: number, once: MessageOf<'request'>['once']): MessageOf<'request'> {
		const headers: Record<string, string> = {};
		for (const name of forwardedHeaders) {
			const value = exchange.headers[name];
			if (value !== undefined) {
				headers[name] = String(value);
			}
		}

		return {
			type: 'request',
			id: exchange.id,
			attempt: progress.attempt,
			method: exchange.method,
			path: exchange.path,
			headers,
			body: exchange.body,
			organisation: exchange.organisation,
			weight: exchange.row?.weight ?? 1,
			urgency: exchange.urgency,
			timeoutMs,
			// A keyed request is never probed: a refusal is final for it and moves its claim to another target.
			mayWait: once !== undefined || progress.probesLeft === 0,
			tableVersion: this.options.tableVersion(),
			...(once && {once}),
		};
	}
}

function makeUnknownProblem(reason: string, isLate: boolean, guard: RunGuard): Problem {
	return new Problem({
		status: isLate ? 504 : 502,
		title: 'Not known whether the request ran',
		detail: reason,
		outcome: 'unknown',
		keyState: guard.isRepeatable ? undefined : 'used',
	});
}

function makeKeyUsedProblem(detail: string, keyState: 'used' | 'unknown'): Problem {
	return new Problem({
		status: 409,
		title: 'A request with this key came first',
		detail,
		outcome: 'unknown',
		keyState,
	});
}
