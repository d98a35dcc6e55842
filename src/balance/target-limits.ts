import {type Target} from '../fleet/target.js';
import {type LimitDigest} from './limit-digest.js';

/** One life of a target. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;

/** What is known of one target's limit. */
type LimitRecord = {
	readonly life: Incarnation;
	/** Undefined once the target names none any more. */
	perSecond: number | undefined;
	/** When an answer last said so, here or at the peer that it was heard from. */
	saidAt: number;
	/** Whether the answer came to this entry, which then tells its peers. */
	isOwn: boolean;
	/** When the limit began, as far as known here, and how many requests this entry has sent since. */
	since: number;
	sends: number;
	loggedAt: number;
	goneAt: number | undefined;
};

/** What an answer says of it: a rate; that there is one which cannot be read; or nothing. */
type Statement = {readonly perSecond: number | undefined} | undefined;
/** What was said of it, when, and to whom. */
type LimitUpdate = {readonly perSecond: number | undefined; readonly saidAt: number; readonly isOwn: boolean};

/** Least time between two lines on changes of one target's limit, milliseconds: a rate may change with each answer. */
const changeLogIntervalMs = 1000;
/** That a limit has ended is remembered for so long, milliseconds: an older digest of a peer, late on its way, is not believed then. */
const endedRetentionMs = 5000;
/** A limit outlasts its target's registration by so long, milliseconds: one that lapsed while the store was away may come back. */
const unregisteredRetentionMs = 10_000;

/** Targets that take so many requests a second from all entries together, for as long as their answers say so. */
export class TargetLimits {
	private readonly records = new Map<string, LimitRecord>();

	constructor(private readonly log: (message: string) => void) {}

	/** Targets that name a limit. */
	get size(): number {
		return [...this.records.values()].filter(({perSecond}) => perSecond !== undefined).length;
	}

	/**
	 * Takes what an answer says. One that names none ends a limit if its request was sent after the limit was last named: answers
	 * overtake each other, and an older one says nothing of now. One that names what cannot be read changes nothing.
	 *
	 * @param sentAt - when the request was sent that the answer was waited for, milliseconds
	 */
	noteAnswer(life: Incarnation, statement: Statement, sentAt: number, now: number): void {
		const known = this.records.get(life.id);
		if (statement === undefined) {
			if (known?.perSecond !== undefined && sentAt >= known.saidAt) {
				this.update(life, {perSecond: undefined, saidAt: now, isOwn: true}, now);
			}
		} else if (statement.perSecond !== undefined) {
			this.update(life, {perSecond: statement.perSecond, saidAt: now, isOwn: true}, now);
		}
	}

	/** Takes what a peer has read, if that is newer than what is known here. */
	merge({id, bornAt, perSecond, agoMs}: LimitDigest, now: number): void {
		const saidAt = now - agoMs;
		const known = this.records.get(id);
		if (known ? saidAt > known.saidAt : perSecond !== undefined) {
			this.update({id, bornAt}, {perSecond, saidAt, isOwn: false}, now);
		}
	}

	/** What peers are told: only what this entry has read itself. */
	getDigest(now: number): LimitDigest[] {
		return [...this.records.values()].filter(({isOwn}) => isOwn).map(({life: {id, bornAt}, perSecond, saidAt}) => ({
			id, ...(bornAt !== undefined && {bornAt}), ...(perSecond !== undefined && {perSecond}), agoMs: Math.max(0, Math.round(now - saidAt)),
		}));
	}

	/** Requests per second that a target takes from all entries together; undefined when it names no limit. */
	get(target: string): number | undefined {
		return this.records.get(target)?.perSecond;
	}

	/** How long ago a target last named its limit, milliseconds. */
	getAgeMs(target: string, now: number): number {
		return now - (this.records.get(target)?.saidAt ?? now);
	}

	/** Notes that a request is sent to a target, so that the log tells what this entry adds to a limit. */
	noteSend(target: string): void {
		const record = this.records.get(target);
		if (record) {
			record.sends++;
		}
	}

	/** Forgets the limit of a target that has started again: its new life has said nothing yet. */
	forget(target: string): void {
		this.records.delete(target);
	}

	/** Forgets limits that have ended, and those of targets that are gone. */
	tick(now: number, isKnown: (target: string) => boolean): void {
		for (const [id, record] of this.records) {
			record.goneAt = isKnown(id) ? undefined : record.goneAt ?? now;
			const hasEnded = record.perSecond === undefined && now - record.saidAt > endedRetentionMs;
			const isGone = record.goneAt !== undefined && now - record.goneAt > unregisteredRetentionMs;
			if (hasEnded || isGone) {
				this.records.delete(id);
			}
		}
	}

	private update(life: Incarnation, {perSecond, saidAt, isOwn}: LimitUpdate, now: number): void {
		const known = this.records.get(life.id);
		const record = known?.perSecond === undefined || perSecond === undefined
			? {
				life, perSecond, saidAt, isOwn, since: now, sends: 0, loggedAt: now, goneAt: known?.goneAt,
			}
			: {
				...known, perSecond, saidAt, isOwn,
			};
		this.logChange(known, record, now);
		this.records.set(life.id, record);
	}

	private logChange(known: LimitRecord | undefined, record: LimitRecord, now: number): void {
		const {life: {id}, perSecond, isOwn} = record;
		const source = isOwn ? 'its answer' : 'a peer';
		if (known?.perSecond === undefined) {
			if (perSecond !== undefined) {
				this.log(`target ${id} takes ${perSecond} requests a second from all entries, as ${source} says`);
			}

			return;
		}

		const {sends, since} = known;
		const part = `${sends} requests were sent from here in ${Math.round(now - since)} ms`;
		if (perSecond === undefined) {
			this.log(`target ${id} names no limit any more, as ${source} says; ${part}`);
		} else if (perSecond !== known.perSecond && now - known.loggedAt >= changeLogIntervalMs) {
			record.loggedAt = now;
			this.log(`target ${id} takes ${perSecond} requests a second now, ${known.perSecond} before, as ${source} says; ${part}`);
		}
	}
}
