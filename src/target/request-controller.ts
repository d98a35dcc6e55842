import {type AdmissionQueue} from '../admission/admission-queue.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
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
	readonly replayBytes: number;
	/** How long a request that nobody reads goes on, milliseconds. */
	readonly resumeMs: number;
	readonly clock: () => number;
	readonly isLeaving: () => boolean;
	/** Calls the engine and pushes the answer; rejects when it breaks off. */
	readonly call: (execution: Execution) => Promise<void>;
	readonly onIdle: () => void;
};

/** The serial point before an engine: decides for every request whether it starts, waits, joins another or is refused. */
export class RequestController {
	private readonly waiting = new Map<string, {execution: Execution; send: Send}>();
	/** Requests that run, or whose answer has not been read to its end. */
	private readonly live = new Set<Execution>();

	constructor(private readonly options: ControllerOptions) {}

	/** Whether no request waits or runs and no answer is still to be read. */
	get isIdle(): boolean {
		return this.waiting.size === 0 && this.live.size === 0;
	}

	/** Handles a message of an entry; `send` answers on the same link. */
	receive(message: LinkMessage, send: Send, now: number): void {
		switch (message.type) {
			case 'request': {
				this.takeRequest(message, send, now);
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
				this.acknowledge(message);
				break;
			}

			default:
		}
	}

	/** Notes that a link was lost; its answers are kept for a while. */
	loseLink(send: Send, now: number): void {
		for (const execution of [...this.live, ...[...this.waiting.values()].map(waiting => waiting.execution)]) {
			execution.removeReaders(reader => reader.send === send, now);
		}
	}

	/** Refuses what waited past its deadline and ends what nobody reads any more. */
	tick(now: number): void {
		for (const {id} of this.options.queue.removeExpired(now)) {
			this.refuseWaiting(id, 'late', now);
		}

		for (const execution of this.live) {
			this.endUnread(execution, now);
		}

		this.startWaiting(now);
		this.notifyIdle();
	}

	private endUnread(execution: Execution, now: number): void {
		if (execution.state === 'done') {
			if (now - execution.endedAt > this.options.resumeMs) {
				this.live.delete(execution);
			}

			return;
		}

		const isUnread = execution.unreadSince !== undefined && now - execution.unreadSince > this.options.resumeMs;
		if (isUnread && execution.request.once === undefined) {
			execution.abort.abort();
		}
	}

	private acknowledge({id, attempt, sequence}: MessageOf<'acknowledge'>): void {
		const execution = this.options.records.get(id, attempt);
		execution?.acknowledge(sequence);
		if (execution?.state === 'done' && execution.isDelivered) {
			this.live.delete(execution);
			this.notifyIdle();
		}
	}

	private takeRequest(request: MessageOf<'request'>, send: Send, now: number): void {
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

		const execution = new Execution({request, replayBytes: this.options.replayBytes, arrivedAt: now});
		const verdict = this.options.queue.offer({
			id: `${request.id}/${request.attempt}`,
			organisation: request.organisation,
			weight: request.weight,
			urgency: request.urgency,
			arrivedAt: now,
			deadline: now + request.timeoutMs,
			mayWait: request.mayWait,
		}, now);
		if (verdict.kind === 'refuse') {
			this.refuse(request, send, verdict.reason, now, verdict.retryAfterMs);
			return;
		}

		records.add(execution);
		execution.addReader({id: request.id, attempt: request.attempt, send}, 0);
		if (verdict.kind === 'start') {
			this.start(execution, send, now);
		} else {
			this.waiting.set(`${request.id}/${request.attempt}`, {execution, send});
		}
	}

	/* Refusing a request that may run only once is final: a late copy of it is refused too. */
	private refuse(request: MessageOf<'request'>, send: Send, reason: Reason, now: number, retryAfterMs = 0): void {
		const {once, id, attempt} = request;
		const known = once && this.options.records.getByKey(once.key);
		const isFinal = reason === 'cancelled' || reason === 'duplicate' || !once || this.options.records.bury(once.owner, now);
		if (!isFinal) {
			send({
				type: 'broken', id, attempt, sequence: 0, reason: 'no room to remember a refusal',
			});
			return;
		}

		send({
			type: 'refused', id, attempt, reason, retryAfterMs, record: known ? describe(known) : 'absent',
		});
	}

	private cancel({id, attempt}: MessageOf<'cancel'>, send: Send, now: number): void {
		const execution = this.options.records.get(id, attempt);
		if (!execution) {
			const started = !this.options.records.bury(`${id}/${attempt}`, now);
			send({
				type: 'cancelled', id, attempt, started,
			});
			return;
		}

		const isWaiting = this.options.queue.remove(`${id}/${attempt}`);
		if (isWaiting) {
			this.forgetWaiting(execution, now);
		} else {
			execution.abort.abort();
		}

		send({
			type: 'cancelled', id, attempt, started: !isWaiting,
		});
	}

	/* An entry that resumes a request we never saw has lost it on the way: it is buried, so that it did not run is a fact. */
	private resume({id, attempt, sequence}: MessageOf<'resume'>, send: Send, now: number): void {
		const execution = this.options.records.get(id, attempt);
		if (execution?.addReader({id, attempt, send}, sequence)) {
			const waiting = this.waiting.get(`${id}/${attempt}`);
			if (waiting) {
				waiting.send = send;
			}

			return;
		}

		const isProved = !execution && this.options.records.bury(`${id}/${attempt}`, now);
		send(isProved
			? {
				type: 'refused', id, attempt, reason: 'unknown-call', retryAfterMs: 0,
			}
			: {
				type: 'broken', id, attempt, sequence, reason: 'the answer is no longer kept',
			});
	}

	/* A second copy of a keyed request joins the first, or learns that the first never came and never will. */
	private attach({id, attempt, key, owner}: MessageOf<'attach'>, send: Send, now: number): void {
		const execution = this.options.records.getByKey(key);
		if (execution?.addReader({id, attempt, send}, 0)) {
			return;
		}

		if (execution) {
			send({
				type: 'refused', id, attempt, reason: 'duplicate', retryAfterMs: 0, record: describe(execution),
			});
			return;
		}

		const isProved = this.options.records.bury(owner, now);
		send(isProved
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
		this.live.add(execution);
		void this.run(execution, send);
	}

	private async run(execution: Execution, send: Send): Promise<void> {
		const {request} = execution;
		try {
			await this.options.call(execution);
			this.finish(execution);
		} catch (error) {
			const now = this.options.clock();
			this.finish(execution);
			if (error instanceof EngineRefusal) {
				this.live.delete(execution);
				this.options.records.drop(execution);
				this.refuse(request, send, 'unavailable', now);
			} else {
				execution.addPart({type: 'broken', reason: (error as Error).message});
			}
		}

		this.startWaiting(this.options.clock());
		this.notifyIdle();
	}

	private finish(execution: Execution): void {
		const now = this.options.clock();
		const {id, attempt} = execution.request;
		execution.state = 'done';
		execution.endedAt = now;
		this.options.queue.finish(`${id}/${attempt}`, now - execution.startedAt);
		this.options.records.end(execution, now);
	}

	private startWaiting(now: number): void {
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

	private refuseWaiting(name: string, reason: Reason, now: number): void {
		const {execution, send} = this.waiting.get(name)!;
		this.forgetWaiting(execution, now);
		this.refuse(execution.request, send, reason, now);
	}

	private forgetWaiting(execution: Execution, now: number): void {
		const {id, attempt, once} = execution.request;
		this.waiting.delete(`${id}/${attempt}`);
		this.options.records.drop(execution);
		this.options.records.bury(once?.owner ?? `${id}/${attempt}`, now);
		this.notifyIdle();
	}

	private notifyIdle(): void {
		if (this.isIdle) {
			this.options.onIdle();
		}
	}
}

function describe(execution: Execution): 'running' | 'done' {
	return execution.state === 'done' ? 'done' : 'running';
}
