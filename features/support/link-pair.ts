import {type Call} from '../../src/calls/call.js';
import {type CallEvent} from '../../src/calls/call-event.js';
import {TargetLink} from '../../src/calls/target-link.js';
import {GracePeriod} from '../../src/callers/grace-period.js';
import {AdmissionQueue} from '../../src/admission/admission-queue.js';
import {type MessageOf} from '../../src/link/message-of.js';
import {type Execution} from '../../src/target/execution.js';
import {MemoryBudget} from '../../src/memory/memory-budget.js';
import {RecordTable} from '../../src/target/record-table.js';
import {RequestController} from '../../src/target/request-controller.js';
import {MemoryLink} from './memory-link.js';

const welcomeBase = {
	type: 'welcome', protocol: 1, id: 'target-1', availabilityZone: 'barre-hall', tableVersion: 0, leaving: false,
} as const;

/** An entry's target link and a target's request controller, connected in memory; the scenario sets the time and acts as the engine. */
export class LinkPair {
	/** Present time of both sides, milliseconds since the epoch. */
	now = 1_000_000;
	readonly link: MemoryLink;
	readonly entry: TargetLink;
	/** Requests that the target has sent to its engine, in order. */
	readonly running: Execution[] = [];
	isLeaving = false;
	/** The time that a planned stop of the target leaves. */
	readonly grace = new GracePeriod();
	incarnation = 'life-1';
	controller: RequestController;
	private nextId = 0;

	/**
	 * @param maximumRecords - ended requests and tombstones that the target can keep
	 * @param concurrency - requests that the target runs at once
	 */
	constructor(private readonly maximumRecords = 100, private readonly concurrency = 10) {
		this.controller = this.makeController();
		this.link = new MemoryLink(
			(message, answer) => {
				if (message.type === 'hello') {
					answer({...welcomeBase, incarnation: this.incarnation});
				} else {
					this.controller.receive(message, answer, this.now);
				}
			},
			answer => {
				this.controller.handleLostLink(answer, this.now);
			},
		);
		this.entry = new TargetLink({
			vm: {
				id: 'target-1', role: 'target', availabilityZone: 'barre-hall', region: 'default', address: '127.0.0.1', linkPort: 1, state: 'live',
			},
			connect: this.link.connect,
			hello: () => ({
				type: 'hello', protocol: 1, id: 'entry-1', role: 'entry', availabilityZone: 'barre-hall', incarnation: 'e', tableVersion: 0,
			}),
			clock: () => this.now,
			random: () => 0,
			resumeMs: 5000,
			onTableVersion: () => undefined,
			onExpertLoads: () => undefined,
			holdPending: () => true,
		});
	}

	/** Makes a request; with a key it runs at most once. */
	makeRequest(key?: string, owner?: string): MessageOf<'request'> {
		const id = owner ?? `request-${this.nextId++}`;
		return {
			type: 'request',
			id,
			attempt: 1,
			method: 'POST',
			path: '/',
			headers: {},
			body: new Uint8Array(),
			organisation: 'granite',
			weight: 1,
			urgency: 3,
			timeoutMs: 10_000,
			mayWait: true,
			tableVersion: 0,
			...(key !== undefined && {
				once: {
					key, owner: id, incarnation: 'life-1', expiresAt: this.now + 60_000,
				},
			}),
		};
	}

	/** Replaces the target process by one with another incarnation and no records. */
	replaceTarget(): void {
		this.incarnation = 'life-2';
		this.controller = this.makeController();
		this.link.disconnect();
	}

	/** Writes the head and parts of an answer as the engine of the last request, and its end if `isLast`. */
	writeAnswer(words: readonly string[], isLast: boolean): void {
		const execution = this.running.at(-1)!;
		execution.addPart({
			type: 'head', status: 200, headers: {}, tableVersion: 0,
		}, this.now);
		for (const word of words) {
			execution.addPart({type: 'data', chunk: new TextEncoder().encode(word)}, this.now);
		}

		if (isLast) {
			execution.addPart({type: 'end'}, this.now);
		}
	}

	/** Writes another part of an answer that has begun, and its end if `isLast`. */
	continueAnswer(word: string, isLast: boolean): void {
		const execution = this.running.at(-1)!;
		execution.addPart({type: 'data', chunk: new TextEncoder().encode(word)}, this.now);
		if (isLast) {
			execution.addPart({type: 'end'}, this.now);
		}
	}

	/** Reads the events of a call until it has ended. */
	async readEvents(call: Call): Promise<CallEvent[]> {
		const events: CallEvent[] = [];
		for (;;) {
			const event = await call.nextEvent();
			events.push(event);
			if (!['head', 'data'].includes(event.type)) {
				return events;
			}
		}
	}

	close(): void {
		this.entry.close();
	}

	private makeController(): RequestController {
		return new RequestController({
			incarnation: this.incarnation,
			queue: new AdmissionQueue({concurrency: this.concurrency, queueLength: 10, agingMs: 2000}),
			records: new RecordTable({maximum: this.maximumRecords, minimumAgeMs: 600_000}),
			replayBytes: 10_000,
			budget: new MemoryBudget(Number.MAX_SAFE_INTEGER),
			resumeMs: 5000,
			clock: () => this.now,
			isLeaving: () => this.isLeaving,
			grace: this.grace,
			runOnEngine: async execution => {
				this.running.push(execution);
				await new Promise<void>((resolve, reject) => {
					execution.abort.signal.addEventListener('abort', () => {
						reject(new Error('aborted'));
					});
				});
			},
			onIdle: () => undefined,
		});
	}
}
