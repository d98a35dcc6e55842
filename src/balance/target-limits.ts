import {type Target} from '../fleet/target.js';

/** One life of a target. */
type Life = Pick<Target, 'id' | 'service' | 'bornAt'>;

type Limit = {
	readonly target: Life;
	/** Requests per second that it takes from all entries together. */
	perSecond: number;
	/** When an answer last named it, and when the first one did. */
	namedAt: number;
	readonly since: number;
	/** Requests that this entry has sent since. */
	sends: number;
	loggedAt: number;
};

/** What an answer says of it: a rate; that there is one which cannot be read; or nothing. */
type Statement = {readonly perSecond: number | undefined} | undefined;

/** Least time between two lines on changes of one target's limit, milliseconds: a rate may change with each answer. */
const changeLineMs = 1000;

/** Targets that take so many requests a second from all entries together, for as long as their answers say so. */
export class TargetLimits {
	private readonly limits = new Map<string, Limit>();

	constructor(private readonly log: (message: string) => void) {}

	/** Targets that name a limit. */
	get size(): number {
		return this.limits.size;
	}

	/**
	 * Takes what an answer says. One that names none ends a limit if its request was sent after the limit was last named: answers
	 * overtake each other, and an older one says nothing of now. One that names what cannot be read changes nothing.
	 *
	 * @param sentAt - when the request was sent that the answer was waited for, milliseconds
	 */
	note(target: Life, statement: Statement, sentAt: number, now: number): void {
		const known = this.limits.get(target.id);
		if (statement === undefined) {
			if (known && sentAt >= known.namedAt) {
				this.end(known, now);
			}
		} else if (statement.perSecond !== undefined) {
			this.name(target, statement.perSecond, now);
		}
	}

	/** Requests per second that a target takes from all entries together; undefined when it names no limit. */
	get(target: string): number | undefined {
		return this.limits.get(target)?.perSecond;
	}

	/** Notes that a request is sent to a target, so that the log tells what this entry adds to a limit. */
	noteSend(target: string): void {
		const limit = this.limits.get(target);
		if (limit) {
			limit.sends++;
		}
	}

	/** Forgets the limit of a target that has started again: its new life has said nothing yet. */
	forget(target: string): void {
		this.limits.delete(target);
	}

	private name(target: Life, perSecond: number, now: number): void {
		const known = this.limits.get(target.id);
		if (!known) {
			this.limits.set(target.id, {
				target, perSecond, namedAt: now, since: now, sends: 0, loggedAt: now,
			});
			this.log(`target ${target.id} of ${target.service} takes ${perSecond} requests a second from all entries`);
			return;
		}

		if (perSecond !== known.perSecond && now - known.loggedAt >= changeLineMs) {
			known.loggedAt = now;
			this.log(`target ${target.id} of ${target.service} takes ${perSecond} requests a second now, ${known.perSecond} before; ${this.describe(known, now)}`);
		}

		known.perSecond = perSecond;
		known.namedAt = now;
	}

	private end(limit: Limit, now: number): void {
		const {id, service} = limit.target;
		this.limits.delete(id);
		this.log(`target ${id} of ${service} names no limit any more; ${this.describe(limit, now)}`);
	}

	/* What this entry has added to it. */
	private describe({sends, since}: Limit, now: number): string {
		return `${sends} requests were sent from here in ${Math.round(now - since)} ms`;
	}
}
