import {type TargetStanding} from './target-standing.js';

type Record = {
	failureRate: number;
	at: number;
	latencyMs: number;
	avoidUntil: number;
	unreachable: number;
	/** Refusals since it last served a request, when the last came, and until when it is left alone for them. */
	refusals: number;
	refusedAt: number;
	refusedUntil: number;
	servedAt: number | undefined;
	/** When it first served a request after refusals. */
	recoveredAt: number | undefined;
};

type PeerWord = {readonly refusing: readonly string[]; readonly recovered: readonly string[]};
/** What a peer said last of targets that refuse it, and since when it has said so of each. */
type Hearsay = {readonly at: number; readonly since: ReadonlyMap<string, number>};

/** Weight of the newest outcome in a target's failure rate and latency. */
const newestWeight = 0.2;
/** Time in which what was seen of a target fades to about a third, milliseconds, so that it is tried again. */
const memoryMs = 4000;
/** How long an unreachable target is left alone at first and at most, milliseconds. */
const firstAvoidMs = 300;
const longestAvoidMs = 2000;

/** What a peer said counts for so long, milliseconds: three of its longest times between two reports. */
const hearsayMs = 1500;
/** A peer's word that a target serves again is surely newer than a refusal of so long ago, milliseconds: two of its reports. */
const newsLagMs = 500;

/** One refusal is common under load, and its request's own line tells it; this many in a row are told of their target. */
const refusalsToTell = 2;

const getAvoidMs = (times: number): number => Math.min(longestAvoidMs, firstAvoidMs * (2 ** (times - 1)));

/** What this entry has seen of each target lately: failures, latency, refusals, whether it could be reached. Fades with time. */
export class TargetHealth {
	private readonly records = new Map<string, Record>();
	/** Targets that refuse peers, by peer. */
	private readonly hearsay = new Map<string, Hearsay>();

	/** @param log - told of targets that refuse again and again, and of their return */
	constructor(private readonly log: (message: string) => void = () => undefined) {}

	/** Notes an answer, or a failure that the target is to blame for. */
	note(target: string, hasFailed: boolean, now: number): void {
		const record = this.read(target, now);
		record.failureRate += ((hasFailed ? 1 : 0) - record.failureRate) * newestWeight;
		if (!hasFailed) {
			record.unreachable = 0;
			record.avoidUntil = 0;
		}
	}

	/** Notes how long a target took for a whole answer, milliseconds. */
	noteLatency(target: string, latencyMs: number, now: number): void {
		const record = this.read(target, now);
		record.latencyMs += (latencyMs - record.latencyMs) * (record.latencyMs === 0 ? 1 : newestWeight);
	}

	/** Notes that a target has begun to answer a request, not with a refusal or failure. */
	noteServing(target: string, now: number): void {
		const record = this.read(target, now);
		if (record.refusals >= refusalsToTell) {
			this.log(`target ${target} serves again, ${Math.round(now - record.refusedAt)} ms after the last of ${record.refusals} refusals`);
		}

		record.servedAt = now;
		record.recoveredAt = record.refusals > 0 ? now : record.recoveredAt;
		record.refusals = 0;
		record.refusedUntil = 0;
	}

	/**
	 * Notes that a target has refused a request. It ends at once and leaves nothing in flight, so that its giver would look the emptiest
	 * and get the next as well: others go first for a while, and until it has served one it is doubtful. In memory, five of 16 targets
	 * that refuse everything get 66 in 100 requests of 8 entries without this and 12 with it (5 seeds).
	 */
	noteRefusal(target: string, now: number): void {
		const record = this.read(target, now);
		record.refusals++;
		record.refusedAt = now;
		record.recoveredAt = undefined;
		record.refusedUntil = now + getAvoidMs(record.refusals);
		if (record.refusals === refusalsToTell) {
			this.log(`target ${target} refuses what it is sent: others go first, and it gets a request now and then to see`);
		}
	}

	/** Targets that have refused what this entry sent last, for its peers; not what it only heard of them. */
	listRefusing(): string[] {
		return [...this.records].filter(([, {refusals}]) => refusals > 0).map(([target]) => target);
	}

	/** Targets that lately began to serve this entry again, for its peers. */
	listRecovered(now: number): string[] {
		return [...this.records].filter(([, {recoveredAt}]) => recoveredAt !== undefined && now - recoveredAt < hearsayMs).map(([target]) => target);
	}

	/**
	 * Takes the targets that refuse a peer, and those that serve it again. The first are doubtful here too, until they have served this
	 * entry or the peer; of the others this entry's own refusals count no more. So it takes one entry to find out either.
	 */
	hear(peer: string, {refusing, recovered}: PeerWord, now: number): void {
		const known = this.hearsay.get(peer)?.since;
		if (refusing.length === 0) {
			this.hearsay.delete(peer);
		} else {
			this.hearsay.set(peer, {at: now, since: new Map(refusing.map(target => [target, known?.get(target) ?? now]))});
		}

		for (const target of recovered) {
			const record = this.records.get(target);
			if (record && now - record.refusedAt > newsLagMs) {
				record.refusals = 0;
				record.refusedUntil = 0;
			}
		}
	}

	/** Notes that a target could not be reached or has gone silent: it is left alone for a while. */
	avoid(target: string, now: number): void {
		const record = this.read(target, now);
		record.unreachable++;
		record.avoidUntil = now + getAvoidMs(record.unreachable);
	}

	/** How a target stands now. */
	getStanding(target: string, now: number): TargetStanding {
		const record = this.records.get(target);
		if (record && now < Math.max(record.avoidUntil, record.refusedUntil)) {
			return 'avoided';
		}

		const refusesPeer = this.getRefusedSince(target, now) > (record?.servedAt ?? Number.NEGATIVE_INFINITY);
		return refusesPeer || (record && record.refusals > 0) ? 'doubtful' : 'sound';
	}

	/** When a target last began to answer, milliseconds; undefined when it never has. */
	getServedAt(target: string): number | undefined {
		return this.records.get(target)?.servedAt;
	}

	/** Share of recent requests that failed, 0 to 1. */
	getFailureRate(target: string, now: number): number {
		return this.read(target, now).failureRate;
	}

	/** Recent time for a whole answer, milliseconds; 0 when none is known. */
	getLatency(target: string, now: number): number {
		return this.read(target, now).latencyMs;
	}

	/** Forgets what was seen of a target. */
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
		for (const [peer, {at}] of this.hearsay) {
			if (now - at > hearsayMs) {
				this.hearsay.delete(peer);
			}
		}
	}

	/* Since when a peer has been refused by a target; the latest of several. */
	private getRefusedSince(target: string, now: number): number {
		let latest = Number.NEGATIVE_INFINITY;
		for (const {at, since} of this.hearsay.values()) {
			if (now - at <= hearsayMs) {
				latest = Math.max(latest, since.get(target) ?? latest);
			}
		}

		return latest;
	}

	private read(target: string, now: number): Record {
		const record = this.records.get(target) ?? {
			failureRate: 0, at: now, latencyMs: 0, avoidUntil: 0, unreachable: 0, refusals: 0, refusedAt: Number.NEGATIVE_INFINITY, refusedUntil: 0, servedAt: undefined, recoveredAt: undefined,
		};
		const fade = Math.exp((record.at - now) / memoryMs);
		record.failureRate *= fade;
		record.latencyMs *= fade;
		record.at = now;
		this.records.set(target, record);
		return record;
	}
}
