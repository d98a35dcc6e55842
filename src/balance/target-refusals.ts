import {type BreakerState} from './breaker-state.js';

type RefusalRecord = {
	/** Refusals since the target last served a request, when the last came, and until when it is left alone for them. */
	refusals: number;
	refusedAt: number;
	backoffUntil: number;
	servedAt: number | undefined;
	/** When it first served a request after refusals. */
	recoveredAt: number | undefined;
};

/** What a peer says of targets that refuse it, and of those that lately serve it again. */
type PeerDigest = {readonly refusing: readonly string[]; readonly recovered: readonly string[]};
/** What a peer said last of targets that refuse it, and since when it has said so of each. */
type PeerReport = {readonly at: number; readonly since: ReadonlyMap<string, number>};

/** How long a target that refuses is left alone at first and at most, milliseconds; twice as long with each refusal more. */
const initialBackoffMs = 300;
const maximumBackoffMs = 2000;
/** What a peer said counts for so long, milliseconds: three of its longest times between two reports. */
const peerReportLifetimeMs = 1500;
/** A peer's digest that says that a target serves again is surely newer than a refusal of so long ago, milliseconds: a report's longest way. */
const maximumReportDelayMs = 500;
/** One refusal is common under load, and its request's own line tells it; this many in a row are told of their target. */
const refusalsToLog = 2;

/**
 * Which targets refuse what they are sent, as this entry and its peers have found.
 *
 * A refusal ends at once and leaves nothing in flight, so that its giver would look the emptiest and get the next request as well.
 * So others go first for a while, and until it has served a request it is doubtful.
 */
export class TargetRefusals {
	private readonly records = new Map<string, RefusalRecord>();
	/** By peer. */
	private readonly peerReports = new Map<string, PeerReport>();

	/** @param log - told of targets that refuse again and again, and of their return */
	constructor(private readonly log: (message: string) => void) {}

	/**
	 * Notes that a target has begun to answer a request, not with a refusal or failure.
	 *
	 * @param sentAt - when the request was sent: one from before a refusal says nothing of what came after
	 */
	noteServing(target: string, sentAt: number, now: number): void {
		const record = this.read(target);
		record.servedAt = now;
		if (record.refusals === 0 || sentAt < record.refusedAt) {
			return;
		}

		if (record.refusals >= refusalsToLog) {
			this.log(`target ${target} serves again, ${Math.round(now - record.refusedAt)} ms after the last of ${record.refusals} refusals`);
		}

		record.recoveredAt = now;
		record.refusals = 0;
	}

	/** Notes that a target has refused a request. */
	noteRefusal(target: string, now: number): void {
		const record = this.read(target);
		record.refusals++;
		record.refusedAt = now;
		record.recoveredAt = undefined;
		record.backoffUntil = now + Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (record.refusals - 1)));
		if (record.refusals === refusalsToLog) {
			this.log(`target ${target} refuses what it is sent: others go first, and it gets a request now and then to see`);
		}
	}

	/** What peers are told: only what this entry has found itself. */
	getDigest(now: number): PeerDigest {
		const refusing: string[] = [];
		const recovered: string[] = [];
		for (const [target, {refusals, recoveredAt}] of this.records) {
			if (refusals > 0) {
				refusing.push(target);
			} else if (recoveredAt !== undefined && now - recoveredAt < peerReportLifetimeMs) {
				recovered.push(target);
			}
		}

		return {refusing, recovered};
	}

	/**
	 * Takes over a peer's digest. Targets that refuse it are doubtful here too, until they have served this entry or the peer; of those that
	 * serve it again, this entry's own refusals count no more. So it takes one entry to find out either.
	 */
	merge(peer: string, {refusing, recovered}: PeerDigest, now: number): void {
		const known = this.peerReports.get(peer)?.since;
		if (refusing.length === 0) {
			this.peerReports.delete(peer);
		} else {
			this.peerReports.set(peer, {at: now, since: new Map(refusing.map(target => [target, known?.get(target) ?? now]))});
		}

		for (const target of recovered) {
			const record = this.records.get(target);
			if (record && now - record.refusedAt > maximumReportDelayMs) {
				record.refusals = 0;
			}
		}
	}

	/** How a target stands now. */
	getBreakerState(target: string, now: number): BreakerState {
		const record = this.records.get(target);
		const refuses = record !== undefined && record.refusals > 0;
		if (refuses && now < record.backoffUntil) {
			return 'avoided';
		}

		const refusesPeer = this.getPeerRefusedSince(target) > (record?.servedAt ?? Number.NEGATIVE_INFINITY);
		return refuses || refusesPeer ? 'doubtful' : 'sound';
	}

	/** When a target last began to answer, milliseconds; undefined when it never has. */
	getServedAt(target: string): number | undefined {
		return this.records.get(target)?.servedAt;
	}

	/** Forgets what was seen of a target that has started again. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Forgets targets that are gone. */
	prune(isKnown: (target: string) => boolean): void {
		for (const target of this.records.keys()) {
			if (!isKnown(target)) {
				this.records.delete(target);
			}
		}
	}

	/** Forgets peers that were not heard for long. */
	tick(now: number): void {
		for (const [peer, {at}] of this.peerReports) {
			if (now - at > peerReportLifetimeMs) {
				this.peerReports.delete(peer);
			}
		}
	}

	/* Since when a peer has been refused by a target; the latest of several. */
	private getPeerRefusedSince(target: string): number {
		let latest = Number.NEGATIVE_INFINITY;
		for (const {since} of this.peerReports.values()) {
			latest = Math.max(latest, since.get(target) ?? latest);
		}

		return latest;
	}

	private read(target: string): RefusalRecord {
		const record = this.records.get(target) ?? {
			refusals: 0, refusedAt: Number.NEGATIVE_INFINITY, backoffUntil: 0, servedAt: undefined, recoveredAt: undefined,
		};
		this.records.set(target, record);
		return record;
	}
}
