import {type Target} from '../fleet/target.js';
import {type LimitDigest} from './limit-digest.js';

/** One incarnation of a target: a restart under the same id gives a new one. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;

/** The limit of one target. Times in milliseconds. */
type LimitRecord = {
	readonly incarnation: Incarnation;
	/** Requests per second; undefined once the target announces no limit. */
	perSecond: number | undefined;
	/** Time of the last answer that stated this, received here or by the peer that reported it. */
	statedAt: number;
	/** Whether this entry received the answer, so that it reports the limit to its peers. */
	isOwn: boolean;
	/** Time at which the limit began, as far as known here, and requests that this entry has sent since. */
	since: number;
	sends: number;
	loggedAt: number;
	unregisteredAt: number | undefined;
};

/** The limit in an answer: a rate; undefined `perSecond` when it is present but cannot be parsed; undefined when absent. */
type LimitStatement = {readonly perSecond: number | undefined} | undefined;
/** A statement on a limit, when it was made (milliseconds), and whether to this entry. */
type LimitUpdate = {readonly perSecond: number | undefined; readonly statedAt: number; readonly isOwn: boolean};

/** Minimum interval between two log lines on changes of one target's limit, milliseconds: a rate may change with each answer. */
const changeLogIntervalMs = 1000;
/** Time for which the end of a limit is remembered, milliseconds, so that an older report of a peer that arrives late is ignored. */
const endedRetentionMs = 5000;
/**
 * Time for which a limit is kept after its target's registration has gone, milliseconds: a registration that lapsed while the
 * store was unavailable may come back.
 */
const unregisteredRetentionMs = 10_000;

/** Rate limits that targets announce in their answers; each applies to the requests of all entries together. */
export class TargetLimits {
	private readonly records = new Map<string, LimitRecord>();

	constructor(private readonly log: (message: string) => void) {}

	/** Number of targets that announce a limit. */
	get size(): number {
		return [...this.records.values()].filter(({perSecond}) => perSecond !== undefined).length;
	}

	/**
	 * Records the limit in an answer. An answer without a limit ends the limit only if its request was sent after the limit was
	 * last announced, because answers may arrive out of order. An answer with a limit that cannot be parsed changes nothing.
	 *
	 * @param sentAt - time at which the answered request was sent, milliseconds
	 */
	noteAnswer(incarnation: Incarnation, statement: LimitStatement, sentAt: number, now: number): void {
		const known = this.records.get(incarnation.id);
		if (statement === undefined) {
			if (known?.perSecond !== undefined && sentAt >= known.statedAt) {
				this.update(incarnation, {perSecond: undefined, statedAt: now, isOwn: true}, now);
			}
		} else if (statement.perSecond !== undefined) {
			this.update(incarnation, {perSecond: statement.perSecond, statedAt: now, isOwn: true}, now);
		}
	}

	/** Merges a limit that a peer has received, if it is newer than what is known here. */
	merge({id, bornAt, perSecond, agoMs}: LimitDigest, now: number): void {
		const statedAt = now - agoMs;
		const known = this.records.get(id);
		if (known ? statedAt > known.statedAt : perSecond !== undefined) {
			this.update({id, bornAt}, {perSecond, statedAt, isOwn: false}, now);
		}
	}

	/** Gets the digest for peers: only limits that this entry has received itself. */
	getDigest(now: number): LimitDigest[] {
		return [...this.records.values()].filter(({isOwn}) => isOwn).map(({incarnation: {id, bornAt}, perSecond, statedAt}) => ({
			id, ...(bornAt !== undefined && {bornAt}), ...(perSecond !== undefined && {perSecond}), agoMs: Math.max(0, Math.round(now - statedAt)),
		}));
	}

	/** Requests per second that a target accepts from all entries together; undefined when it announces no limit. */
	get(target: string): number | undefined {
		return this.records.get(target)?.perSecond;
	}

	/** Time since a target last announced its limit, milliseconds. */
	getAgeMs(target: string, now: number): number {
		return now - (this.records.get(target)?.statedAt ?? now);
	}

	/** Counts a request that is sent to a target, for the log lines on its limit. */
	noteSend(target: string): void {
		const record = this.records.get(target);
		if (record) {
			record.sends++;
		}
	}

	/** Removes the limit of a target that has restarted: the new incarnation has not announced any yet. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Evicts limits that have ended, and those of targets that are no longer registered. */
	tick(now: number, isKnown: (target: string) => boolean): void {
		for (const [id, record] of this.records) {
			record.unregisteredAt = isKnown(id) ? undefined : record.unregisteredAt ?? now;
			const hasEnded = record.perSecond === undefined && now - record.statedAt > endedRetentionMs;
			const isGone = record.unregisteredAt !== undefined && now - record.unregisteredAt > unregisteredRetentionMs;
			if (hasEnded || isGone) {
				this.records.delete(id);
			}
		}
	}

	private update(incarnation: Incarnation, {perSecond, statedAt, isOwn}: LimitUpdate, now: number): void {
		const known = this.records.get(incarnation.id);
		const record = known?.perSecond === undefined || perSecond === undefined
			? {
				incarnation, perSecond, statedAt, isOwn, since: now, sends: 0, loggedAt: now, unregisteredAt: known?.unregisteredAt,
			}
			: {
				...known, perSecond, statedAt, isOwn,
			};
		this.logChange(known, record, now);
		this.records.set(incarnation.id, record);
	}

	private logChange(known: LimitRecord | undefined, record: LimitRecord, now: number): void {
		const {incarnation: {id}, perSecond, isOwn} = record;
		const source = isOwn ? 'its answer' : 'a peer';
		if (known?.perSecond === undefined) {
			if (perSecond !== undefined) {
				this.log(`target ${id} accepts ${perSecond} requests per second from all entries, according to ${source}`);
			}

			return;
		}

		const {sends, since} = known;
		const summary = `${sends} requests were sent by this entry in ${Math.round(now - since)} ms`;
		if (perSecond === undefined) {
			this.log(`target ${id} no longer announces a limit, according to ${source}; ${summary}`);
		} else if (perSecond !== known.perSecond && now - known.loggedAt >= changeLogIntervalMs) {
			record.loggedAt = now;
			this.log(`target ${id} accepts ${perSecond} requests per second now, ${known.perSecond} before, according to ${source}; ${summary}`);
		}
	}
}
