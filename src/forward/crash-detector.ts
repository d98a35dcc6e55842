import {CrashSuspects} from '../balance/crash-suspects.js';
import {formatIncarnation} from '../balance/format-incarnation.js';
import {type LostRequest} from '../balance/lost-request.js';
import {LostRequests} from '../balance/lost-requests.js';
import {PartSuspects} from '../balance/part-suspects.js';
import {type PartVerdict} from '../balance/part-verdict.js';
import {type TargetHealth} from '../balance/target-health.js';
import {type Target} from '../fleet/target.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type Refusal} from './refusal.js';
import {retrySpreads} from './retry-spreads.js';
import {type SendOutcome} from './send-outcome.js';
import {type TargetTransport} from './target-transport.js';

/** Most requests that the log line on a crash names; a target runs few more. */
const maximumDescribed = 12;
/** A crash is reported to peers as new for this time, milliseconds; later its group may have been formed again. */
const freshCrashMs = 500;
/** Time for which a reported crash is known, milliseconds, so that each stops its group once. */
const crashRetentionMs = 10_000;

type Lost = Extract<SendOutcome, {kind: 'lost'}>;

type DetectorOptions = {
	/** Checks whether a process listens at a target's address. */
	readonly check: TargetTransport['check'];
	readonly health: TargetHealth;
	/** Whether this entry is the one, among the live entries, that sends probes with this fingerprint or part and keeps its record. */
	readonly isElected: (subject: string, now: number) => boolean;
	/** Called with the id of a target that has just crashed, as seen by this entry or a peer. */
	readonly onCrash: (target: string) => void;
	/** Called when peers must be notified at once: of a crash, or that a request is sent as a trial. */
	readonly onUrgentReport: () => void;
	/** Called for each crash in which this entry has lost requests. */
	readonly onLoss: (target: string) => void;
	readonly clock: () => number;
	readonly log: (message: string) => void;
};

const listSubjects = ({fingerprint, metadata: {promptParts}}: ForwardExchange): string[] => [fingerprint, ...promptParts];
const describe = ({id, fingerprint, promptParts, answeringMs}: LostRequest): string => {
	const progress = answeringMs === undefined ? 'not answered' : `answered for ${Math.round(answeringMs)} ms`;
	return `${id ?? '-'} (${fingerprint}, prompt ${promptParts.join(' ') || '-'}, ${progress})`;
};

/**
 * Distinguishes crashed targets from lost connections, and blocks the requests and the parts of prompts that crash targets. A cut
 * link, a frozen VM or a target that breaks answers off is no crash: after a crash the VM refuses connections, or the target registers
 * again with a later time of birth.
 */
export class CrashDetector {
	readonly suspects: CrashSuspects;
	readonly parts: PartSuspects;
	private readonly lostRequests = new LostRequests();
	/** Requests that were sent after a crash was known in which the same request was lost. */
	private readonly repeated = new WeakSet<ForwardExchange>();
	/** Requests that have been counted as sound. */
	private readonly counted = new WeakSet<ForwardExchange>();
	/** Targets being checked. */
	private readonly checks = new Map<string, Promise<void>>();
	/** Incarnations that have just crashed, as seen by this entry or a peer, and when, milliseconds. */
	private readonly ownCrashes = new Map<string, number>();
	private readonly peerCrashes = new Map<string, number>();

	constructor(private readonly options: DetectorOptions) {
		this.parts = new PartSuspects(options.log);
		this.suspects = new CrashSuspects(incarnation => this.parts.isExplained(incarnation), options.log);
	}

	/** Whether this entry is the one, among the live entries, that keeps the record of a fingerprint or part in the store. */
	isElected(subject: string, now: number): boolean {
		return this.options.isElected(subject, now);
	}

	/** Returns why a request is refused because of crashes; undefined when it may be sent. */
	refuse(exchange: ForwardExchange, now: number): Refusal | undefined {
		const {fingerprint} = exchange;
		const {isElected} = this.options;
		const blockMs = this.suspects.getBlockMs(fingerprint, {
			mayProbe: () => isElected(fingerprint, now),
			isTelling: () => this.parts.contrast.compare(exchange.service, fingerprint, now) === 'sound',
		}, now);
		if (blockMs > 0) {
			return {spread: 0, unavailableMs: blockMs, detail: `targets crashed as they ran this request (${fingerprint}), which is refused for ${Math.round(blockMs)} ms more`};
		}

		const verdict = this.judgeParts(exchange, part => isElected(part, now), now);
		switch (verdict.kind) {
			case 'blocked': {
				const {part, waitMs} = verdict;
				return {spread: 0, unavailableMs: waitMs, detail: `targets crashed as they ran requests with part ${part} in their prompts, which are refused for ${Math.round(waitMs)} ms more`};
			}

			case 'tried-elsewhere': {
				const {part, waitMs} = verdict;
				return {spread: retrySpreads.overload, unavailableMs: waitMs, detail: `a target crashed as it ran a request with part ${part} in its prompt; another request with it is being tried`};
			}

			default: {
				return undefined;
			}
		}
	}

	/** Notes that a request is about to be sent: as a trial if parts of its prompt are suspected, until `endTrial`. */
	beginTrial(exchange: ForwardExchange, now: number): void {
		this.parts.contrast.noteSent(exchange.service, listSubjects(exchange));
		if (this.suspects.has(exchange.fingerprint)) {
			this.repeated.add(exchange);
		}

		const verdict = this.judgeParts(exchange, () => true, now);
		if (verdict.kind === 'trial') {
			exchange.noteDecision(`sent as the only request with part ${verdict.parts.join(', ')}, as a target crashed with it`);
			this.parts.trials.begin(exchange, verdict.parts, now);
			this.options.onUrgentReport();
		}
	}

	/** Notes that a request is not sent any more. */
	endTrial(exchange: ForwardExchange): void {
		this.parts.trials.end(exchange);
	}

	/** Returns a callback for each part that a target sends of its answer to a request: what is answered for some time crashes no target. */
	watchAnswer(exchange: ForwardExchange): () => void {
		const {promptParts} = exchange.metadata;
		let beganAt: number | undefined;
		let isSound = false;
		return () => {
			const now = this.options.clock();
			beganAt ??= now;
			if (!isSound && promptParts.length > 0) {
				isSound = this.noteAnswering(exchange, now - beganAt, now);
			}
		};
	}

	/** Notes that a target has answered a request completely; `hasSucceeded` unless it answered with an error. */
	noteAnswered(exchange: ForwardExchange, hasSucceeded: boolean): void {
		const now = this.options.clock();
		this.suspects.noteAnswered(exchange.fingerprint, now);
		if (hasSucceeded) {
			this.noteAnswering(exchange, Number.POSITIVE_INFINITY, now);
		}
	}

	/** Notes that a request was lost at a target. If its connection was closed, resolves once it is known whether the target has crashed. */
	async noteLost(exchange: ForwardExchange, target: Target, {isConnectionClosed, answeringMs}: Lost): Promise<void> {
		const {fingerprint, metadata: {id, promptParts}} = exchange;
		this.lostRequests.add({
			id, fingerprint, promptParts, triedParts: this.parts.trials.listTried(exchange), isRepeated: this.repeated.has(exchange), incarnation: target, answeringMs,
		}, this.options.clock());
		if (!isConnectionClosed) {
			return;
		}

		const check = this.checks.get(target.id) ?? this.checkTarget(target);
		this.checks.set(target.id, check);
		await check;
	}

	/** Notes that a target has restarted under its id. */
	noteRestart(target: string): void {
		this.reportCrash(target);
	}

	/** Gets the digest for peers; `isFull` for a peer that may not have received any report yet. */
	getDigest(isFull: boolean, now: number): Partial<EntryDigest> {
		const crashed = [...this.ownCrashes].filter(([, at]) => now - at <= freshCrashMs).map(([incarnation]) => incarnation);
		return {
			...this.suspects.getDigest(isFull, now),
			...this.parts.getDigest(isFull, now),
			...(crashed.length > 0 && {crashed}),
		};
	}

	/** Merges a peer's digest. */
	merge(digest: EntryDigest, now: number): void {
		this.parts.merge(digest, now);
		this.suspects.merge(digest, now);
		for (const incarnation of digest.crashed ?? []) {
			if (!this.ownCrashes.has(incarnation) && !this.peerCrashes.has(incarnation)) {
				this.peerCrashes.set(incarnation, now);
				this.options.onCrash(incarnation.split(' ', 1)[0]);
			}
		}
	}

	/** Evicts what has expired. */
	tick(now: number): void {
		this.suspects.tick(now);
		this.parts.tick(now);
		for (const crashes of [this.ownCrashes, this.peerCrashes]) {
			for (const [incarnation, at] of crashes) {
				if (now - at > crashRetentionMs) {
					crashes.delete(incarnation);
				}
			}
		}
	}

	private judgeParts(exchange: ForwardExchange, mayProbe: (part: string) => boolean, now: number): PartVerdict {
		return this.parts.judge({
			request: exchange, service: exchange.service, parts: exchange.metadata.promptParts, mayProbe,
		}, now);
	}

	/* Returns whether the parts of its prompt are known to be sound now. */
	private noteAnswering(exchange: ForwardExchange, answeringMs: number, now: number): boolean {
		const {service, metadata: {promptParts}} = exchange;
		const isSound = this.parts.noteAnswering(promptParts, answeringMs, now);
		if (isSound && !this.counted.has(exchange)) {
			this.counted.add(exchange);
			this.parts.contrast.noteSound(service, listSubjects(exchange), now);
		}

		return isSound;
	}

	private async checkTarget(target: Target): Promise<void> {
		const {check, health, clock, log, onCrash} = this.options;
		const listenerState = await check(target);
		this.checks.delete(target.id);
		if (listenerState === 'listens') {
			// Its process has survived: a crash that it has later did not lose this request.
			this.lostRequests.take(target.id, clock());
		}

		if (listenerState !== 'refuses') {
			return;
		}

		log(`target ${target.id} of ${target.service} has crashed: it closed its connections and no process listens at its address`);
		health.noteUnreachable(target.id, clock());
		this.ownCrashes.set(formatIncarnation(target), clock());
		onCrash(target.id);
		this.reportCrash(target.id);
	}

	private reportCrash(target: string): void {
		const {clock, onUrgentReport, onLoss, log} = this.options;
		const now = clock();
		const lost = this.lostRequests.take(target, now);
		if (lost.length === 0) {
			return;
		}

		const described = lost.slice(0, maximumDescribed).map(request => describe(request)).join(', ');
		log(`crash of target ${target}: ${lost.length} requests lost: ${described}`);
		this.parts.noteCrash(lost, now);
		this.suspects.noteCrash(lost, now);
		onLoss(target);
		onUrgentReport();
	}
}
