import {type AdmissionQueue} from '../admission/admission-queue.js';
import {type GracePeriod} from '../callers/grace-period.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type MemoryBudget} from '../memory/memory-budget.js';
import {RunTimes} from '../requests/run-times.js';
import {EngineRefusal} from './engine-refusal.js';
import {Execution} from './execution.js';
import {findRefusal} from './find-refusal.js';
import {type RecordTable} from './record-table.js';

type Send = (message: LinkMessage) => boolean;
type Reason = MessageOf<'refused'>['reason'];

type ControllerOptions = {
	readonly incarnation: string;
	readonly queue: AdmissionQueue;
	readonly records: RecordTable;
	/** Bytes of an answer that are buffered at most. */
	readonly replayBytes: number;
	/** Limits what all requests make the process hold. */
	readonly budget: MemoryBudget;
	/** How long a request without a reader keeps running, and an unread answer is kept, milliseconds. */
	readonly resumeMs: number;
	readonly clock: () => number;
	readonly isLeaving: () => boolean;
	/** The time that a planned stop of this process leaves. */
	readonly grace: GracePeriod;
	/** Sends the request to the engine and adds its answer to the execution; rejects when the answer breaks off. */
	readonly runOnEngine: (execution: Execution) => Promise<void>;
	readonly onIdle: () => void;
};

/** The engine runs requests of one kind. */
const runKind = 'engine';

/** Handles all requests to one engine, one message at a time: decides whether each starts, waits, joins another or is refused. */
export class RequestController {
	private readonly waiting = new Map<string, {execution: Execution; send: Send}>();
	/** Requests that are running, or whose answer has not been acknowledged to its end. */
	private readonly active = new Set<Execution>();
	private readonly runTimes = new RunTimes();

	constructor(private readonly options: ControllerOptions) {}

	/** Whether no request is waiting or running and every answer is acknowledged or given up. */
	get isIdle(): boolean {
		return this.waiting.size === 0 && this.active.size === 0;
	}

	/** Handles a message from an entry; `send` replies on the same link. */
	receive(message: LinkMessage, send: Send, now: number): void {
		switch (message.type) {
			case 'request': {
				this.handleRequest(message, send, now);
				break;
			}

			case 'cancel': {
				this.cancel(message, send, now);
				break;
			}

			case 'resume': {
				this.resume(message, send, now);
				break;
			}

			case 'attach': {
				this.attach(message, send, now);
				break;
			}

			case 'acknowledge': {
				this.acknowledge(message, now);
				break;
			}

			default:
		}
	}

	/** Removes the readers of a lost link; their answers are kept for `resumeMs`, so that the entry can resume. */
	handleLostLink(send: Send, now: number): void {
		for (const execution of [...this.active, ...[...this.waiting.values()].map(waiting => waiting.execution)]) {
			execution.removeReaders(reader => reader.send === send, now);
		}
	}

	/** Refuses requests that have waited past their deadline, and ends those without a reader. To be called at short intervals. */
	tick(now: number): void {
		for (const {id} of this.options.queue.removeExpired(now)) {
			this.refuseWaiting(id, 'late', now);
		}

		for (const execution of this.active) {
			this.expireUnread(execution, now);
		}

		this.startWaiting(now);
		this.notifyIdle();
	}

	private expireUnread(execution: Execution, now: number): void {
		if (execution.state === 'done') {
			if (now - execution.endedAt > this.options.resumeMs) {
				this.active.delete(execution);
			}

			return;
		}

		const isUnread = execution.unreadSince !== undefined && now - execution.unreadSince > this.options.resumeMs;
		if (isUnread && execution.request.once === undefined) {
			execution.abort.abort();
		}
	}

	private acknowledge({id, attempt, sequence}: MessageOf<'acknowledge'>, now: number): void {
		const execution = this.options.records.get(id, attempt);
		execution?.acknowledge(sequence, now);
		if (execution?.state === 'done' && execution.isDelivered) {
			this.active.delete(execution);
			this.notifyIdle();
		}
	}

	private handleRequest(request: MessageOf<'request'>, send: Send, now: number): void {
		const {records} = this.options;
		if (records.get(request.id, request.attempt)) {
			return;
		}

		const {incarnation, isLeaving} = this.options;
		const refusal = findRefusal(request, {records, incarnation, isLeaving: isLeaving()}, now);
		if (refusal) {
			this.refuse(request, send, refusal, now);
			return;
		}

		const {replayBytes, budget} = this.options;
		// The body is a view of the whole piece that was read from the link.
		const execution = new Execution({
			request: {...request, body: new Uint8Array(request.body)}, replayBytes, budget, arrivedAt: now,
		});
		if (!execution.reserve(now)) {
			execution.close();
			this.refuse(request, send, 'full', now);
			return;
		}

		const decision = this.options.queue.offer({
			id: `${request.id}/${request.attempt}`,
			organisation: request.organisation,
			weight: request.weight,
			urgency: request.urgency,
			arrivedAt: now,
			deadline: now + request.timeoutMs,
			mayWait: request.mayWait,
		}, now);
		if (decision.kind === 'refuse') {
			execution.close();
			this.refuse(request, send, decision.reason, now, decision.retryAfterMs);
			return;
		}

		records.add(execution);
		execution.addReader({id: request.id, attempt: request.attempt, send}, 0);
		if (decision.kind === 'start') {
			this.start(execution, send, now);
		} else {
			this.waiting.set(`${request.id}/${request.attempt}`, {execution, send});
		}
	}

	/* The refusal of a request that may run only once is recorded, so that a late copy of it is refused too. */
	private refuse(request: MessageOf<'request'>, send: Send, reason: Reason, now: number, retryAfterMs = 0): void {
		const {once, id, attempt} = request;
		const known = once && this.options.records.getByKey(once.key);
		const isFinal = reason === 'cancelled' || reason === 'duplicate' || !once || this.options.records.addTombstone(once.owner, now);
		if (!isFinal) {
			send({
				type: 'broken', id, attempt, sequence: 0, reason: 'no room to remember a refusal',
			});
			return;
		}

		send({
			type: 'refused', id, attempt, reason, retryAfterMs, record: known ? getRecordState(known) : 'absent',
		});
	}

	private cancel({id, attempt}: MessageOf<'cancel'>, send: Send, now: number): void {
		const execution = this.options.records.get(id, attempt);
		if (!execution) {
			const started = !this.options.records.addTombstone(`${id}/${attempt}`, now);
			send({
				type: 'cancelled', id, attempt, started,
			});
			return;
		}

		const isWaiting = this.options.queue.remove(`${id}/${attempt}`);
		if (isWaiting) {
			this.removeWaiting(execution, now);
		} else {
			execution.abort.abort();
		}

		send({
			type: 'cancelled', id, attempt, started: !isWaiting,
		});
	}

	/* A resume for an unknown request means that the request was lost with its link. A tombstone makes sure that it will not run if it still arrives. */
	private resume({id, attempt, sequence}: MessageOf<'resume'>, send: Send, now: number): void {
		const execution = this.options.records.get(id, attempt);
		if (execution?.addReader({id, attempt, send}, sequence)) {
			const waiting = this.waiting.get(`${id}/${attempt}`);
			if (waiting) {
				waiting.send = send;
			}

			return;
		}

		const isRecorded = !execution && this.options.records.addTombstone(`${id}/${attempt}`, now);
		send(isRecorded
			? {
				type: 'refused', id, attempt, reason: 'unknown-call', retryAfterMs: 0,
			}
			: {
				type: 'broken', id, attempt, sequence, reason: 'the answer is no longer kept',
			});
	}

	/* A second copy of a keyed request reads the answer of the first. If the first never arrived, a tombstone makes sure that it will not start. */
	private attach({id, attempt, key, owner}: MessageOf<'attach'>, send: Send, now: number): void {
		const execution = this.options.records.getByKey(key);
		if (execution?.addReader({id, attempt, send}, 0)) {
			return;
		}

		if (execution) {
			send({
				type: 'refused', id, attempt, reason: 'duplicate', retryAfterMs: 0, record: getRecordState(execution),
			});
			return;
		}

		const isRecorded = this.options.records.addTombstone(owner, now);
		send(isRecorded
			? {
				type: 'refused', id, attempt, reason: 'unknown-call', retryAfterMs: 0, record: 'absent',
			}
			: {
				type: 'broken', id, attempt, sequence: 0, reason: 'no room to remember a refusal',
			});
	}

	private start(execution: Execution, send: Send, now: number): void {
		execution.state = 'running';
		execution.startedAt = now;
		this.active.add(execution);
		void this.run(execution, send);
	}

	private async run(execution: Execution, send: Send): Promise<void> {
		const {request} = execution;
		const cancelStop = this.options.grace.watchRun(() => {
			execution.abort.abort(new Error('the target process stops'));
		});
		try {
			await this.options.runOnEngine(execution);
			this.finish(execution);
		} catch (error) {
			const now = this.options.clock();
			this.finish(execution);
			if (error instanceof EngineRefusal) {
				this.active.delete(execution);
				this.options.records.remove(execution);
				this.refuse(request, send, 'unavailable', now);
			} else {
				execution.addPart({type: 'broken', reason: (error as Error).message}, now);
			}
		}

		cancelStop();

		this.startWaiting(this.options.clock());
		this.notifyIdle();
	}

	private finish(execution: Execution): void {
		const now = this.options.clock();
		const {id, attempt} = execution.request;
		execution.end(now);
		this.options.queue.finish(`${id}/${attempt}`, now - execution.startedAt);
		this.runTimes.note(runKind, now - execution.startedAt, now);
		this.options.records.noteEnd(execution, now);
	}

	private startWaiting(now: number): void {
		this.refuseLate(now);
		for (;;) {
			const next = this.options.queue.startNext(now);
			if (!next) {
				return;
			}

			const {execution, send} = this.waiting.get(next.id)!;
			this.waiting.delete(next.id);
			this.start(execution, send, now);
		}
	}

	/* Refuses the requests that a planned stop would cut, so that entries can send them to other targets. */
	private refuseLate(now: number): void {
		const {grace, queue} = this.options;
		if (!grace.hasBegun) {
			return;
		}

		const expectedMs = this.runTimes.getLongestMs(runKind, now);
		for (const [name, {execution}] of this.waiting) {
			if (!grace.hasTimeFor({deadline: execution.arrivedAt + execution.request.timeoutMs, expectedMs}, now)) {
				queue.remove(name);
				this.refuseWaiting(name, 'leaving', now);
			}
		}
	}

	private refuseWaiting(name: string, reason: Reason, now: number): void {
		const {execution, send} = this.waiting.get(name)!;
		this.removeWaiting(execution, now);
		this.refuse(execution.request, send, reason, now);
	}

	private removeWaiting(execution: Execution, now: number): void {
		const {id, attempt, once} = execution.request;
		this.waiting.delete(`${id}/${attempt}`);
		this.options.records.remove(execution);
		this.options.records.addTombstone(once?.owner ?? `${id}/${attempt}`, now);
		this.notifyIdle();
	}

	private notifyIdle(): void {
		if (this.isIdle) {
			this.options.onIdle();
		}
	}
}

function getRecordState(execution: Execution): 'running' | 'done' {
	return execution.state === 'done' ? 'done' : 'running';
}
