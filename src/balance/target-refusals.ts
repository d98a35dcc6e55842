import {type BreakerState} from './breaker-state.js';

type RefusalRecord = {
	/** Consecutive refusals, time of the last one, and end of the backoff that they caused. Times in milliseconds. */
	refusals: number;
	refusedAt: number;
	backoffUntil: number;
	servedAt: number | undefined;
	/** Time of the first request served after refusals. */
	recoveredAt: number | undefined;
};

/** A peer's report: targets that refuse its requests, and those that have recently recovered. Sent in the message `entry-load`. */
type PeerDigest = {readonly refusing: readonly string[]; readonly recovered: readonly string[]};
/** A peer's latest report of refusing targets, and since when it has reported each of them, milliseconds. */
type PeerReport = {readonly at: number; readonly since: ReadonlyMap<string, number>};

/** Backoff after a refusal, milliseconds: first and maximum. It doubles with each consecutive refusal. */
const initialBackoffMs = 300;
const maximumBackoffMs = 2000;
/** Lifetime of a peer's report, milliseconds: three times the maximum interval between reports. */
const peerReportLifetimeMs = 1500;
/**
 * Maximum delay of a peer's report, milliseconds. A report that a target has recovered clears refusals that are older than this,
 * because it is then certainly newer than they are.
 */
const maximumReportDelayMs = 500;
/** Consecutive refusals after which a line is logged. A single refusal is common under load, and appears in the line on its request. */
const refusalsToLog = 2;

/**
 * Circuit breakers for targets that refuse requests, from what this entry and its peers have seen.
 *
 * A refusal returns at once and leaves nothing in flight, so without a breaker the refusing target would appear the least loaded
 * and get the next request as well. A target that refuses is avoided during its backoff, and then doubtful until it has served a
 * request.
 */
export class TargetRefusals {
	private readonly records = new Map<string, RefusalRecord>();
	/** By peer. */
	private readonly peerReports = new Map<string, PeerReport>();

	/** @param log - receives a line when a target refuses repeatedly, and when it recovers */
	constructor(private readonly log: (message: string) => void) {}

	/**
	 * Notes that a target has begun to answer a request successfully.
	 *
	 * @param sentAt - time at which the request was sent, milliseconds; a request sent before a refusal does not reset the breaker
	 */
	noteServing(target: string, sentAt: number, now: number): void {
		const record = this.read(target);
		record.servedAt = now;
		if (record.refusals === 0 || sentAt < record.refusedAt) {
			return;
		}

		if (record.refusals >= refusalsToLog) {
			this.log(`target ${target} serves requests again, ${Math.round(now - record.refusedAt)} ms after the last of ${record.refusals} refusals`);
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
			this.log(`target ${target} refuses requests: other targets are preferred, and it only gets probes`);
		}
	}

	/** Gets the report for peers: only what this entry has seen itself. */
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
	 * Merges a peer's report, so that one entry's requests are enough to detect a refusal or a recovery. Targets that refuse the
	 * peer are doubtful here too, until they have served this entry or the peer. For targets that have recovered, this entry's own
	 * refusals are cleared.
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

	/** Gets the state of a target's breaker. */
	getBreakerState(target: string, now: number): BreakerState {
		const record = this.records.get(target);
		const refuses = record !== undefined && record.refusals > 0;
		if (refuses && now < record.backoffUntil) {
			return 'avoided';
		}

		const refusesPeer = this.getPeerRefusedSince(target) > (record?.servedAt ?? Number.NEGATIVE_INFINITY);
		return refuses || refusesPeer ? 'doubtful' : 'sound';
	}

	/** Time at which a target last began to answer a request successfully, milliseconds; undefined if it never has. */
	getServedAt(target: string): number | undefined {
		return this.records.get(target)?.servedAt;
	}

	/** Removes all data of a target that has restarted. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Removes targets that are no longer registered. */
	prune(isKnown: (target: string) => boolean): void {
		for (const target of this.records.keys()) {
			if (!isKnown(target)) {
				this.records.delete(target);
			}
		}
	}

	/** Evicts expired peer reports. */
	tick(now: number): void {
		for (const [peer, {at}] of this.peerReports) {
			if (now - at > peerReportLifetimeMs) {
				this.peerReports.delete(peer);
			}
		}
	}

	/* Time since which a target has refused a peer; the latest if several peers report it. */
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
