import {type Target} from './target.js';

type Entry = {target: Target; lostAt: number | undefined; isGone: boolean};
/** One life of a target that leaves, and since when it is not registered. */
type Leave = {readonly bornAt: number | undefined; unregisteredAt: number | undefined};

/**
 * After the store was away, registrations that lapsed meanwhile come back within about two seconds (the platform's
 * figure) of its return, which is noticed a little later; only then is a missing target taken as gone, milliseconds. A
 * target that has left on purpose cannot be told from those, and may be sent nothing two seconds after it said so: the
 * rest is for the next look at the directory (each 100 ms) and for the way of a request that was sent just before.
 */
const returnGraceMs = 1700;

/**
 * That a target leaves counts for so long after its registration has gone, milliseconds: one that lapsed while the store was away, or
 * that an older copy of the store holds, may still come back as if it had never left.
 */
const leaveMemoryMs = 60_000;

/**
 * Peers are told for so long after its registration has gone, milliseconds: one that missed the leaving while the store was away may
 * take the target for one that registers again.
 */
const leaveToldMs = 5000;

const isLaterLife = ({bornAt}: Target, than: Target): boolean => bornAt !== undefined && bornAt > (than.bornAt ?? Number.NEGATIVE_INFINITY);

/** The registered targets of all services. */
export class TargetDirectory {
	private readonly entries = new Map<string, Entry>();
	private readonly leaves = new Map<string, Leave>();
	private byService = new Map<string, Target[]>();

	/**
	 * Takes the whole list of registrations.
	 *
	 * @param targets - every target registered now, the one written last at the end
	 * @param now - the present, milliseconds
	 * @param isStoreBack - whether the store has just returned from an outage, so that lapsed registrations may come back
	 * @returns targets that may no longer be sent anything, and those that have started again under their ids
	 */
	replace(targets: readonly Target[], now: number, isStoreBack: boolean): {readonly gone: Target[]; readonly renewed: Target[]} {
		const registered = new Set(targets.map(({id}) => id));
		const renewed: Target[] = [];
		for (const target of targets) {
			const known = this.entries.get(target.id);
			const isRenewed = known !== undefined && isLaterLife(target, known.target);
			if (isRenewed) {
				this.leaves.delete(target.id);
				renewed.push(target);
			}

			// A life that is gone stays so, however long its registration lingers.
			const isGone = known !== undefined && known.isGone && !isRenewed;
			const isFormerLife = known !== undefined && isLaterLife(known.target, target);
			this.entries.set(target.id, {target: isFormerLife ? known.target : target, lostAt: undefined, isGone});
		}

		for (const [id, entry] of this.entries) {
			if (!registered.has(id)) {
				entry.lostAt ??= isStoreBack ? now : Number.NEGATIVE_INFINITY;
			}
		}

		return {gone: this.expire(now), renewed};
	}

	/** Drops a life of a target that is known to be gone, whatever its registration says. */
	drop({id, bornAt}: Target): void {
		const entry = this.entries.get(id);
		if (entry && entry.target.bornAt === bornAt) {
			entry.isGone = true;
			this.index();
		}
	}

	/**
	 * Notes that a life of a target has said that it leaves: it gets nothing new from now on, whatever its registration says.
	 *
	 * @returns whether that was not known yet
	 */
	noteLeave({id, bornAt}: Pick<Target, 'id' | 'bornAt'>, now: number): boolean {
		const known = this.entries.get(id)?.target;
		const isFormerLife = known !== undefined && known.bornAt !== bornAt;
		if (isFormerLife || this.hasTakenLeave({id, bornAt})) {
			return false;
		}

		this.leaves.set(id, {bornAt, unregisteredAt: known ? undefined : now});
		this.index();
		return true;
	}

	/** Lives of targets that leave, for peers: those that are registered, or were lately. */
	listLeaves(now: number): Array<Pick<Target, 'id' | 'bornAt'>> {
		const isTold = ({unregisteredAt}: Leave): boolean => unregisteredAt === undefined || now - unregisteredAt <= leaveToldMs;
		return [...this.leaves].filter(([, leave]) => isTold(leave)).map(([id, {bornAt}]) => ({id, ...(bornAt !== undefined && {bornAt})}));
	}

	/** Drops targets whose registration did not come back in time; gives those. */
	expire(now: number): Target[] {
		const gone: Target[] = [];
		for (const [id, {target, lostAt}] of this.entries) {
			if (lostAt !== undefined && now - lostAt >= returnGraceMs) {
				this.entries.delete(id);
				gone.push(target);
			}
		}

		this.forgetLeaves(now);
		this.index();
		return gone;
	}

	/** Targets of a service that take new requests. */
	list(service: string): readonly Target[] {
		return this.byService.get(service) ?? [];
	}

	get(id: string): Target | undefined {
		return this.entries.get(id)?.target;
	}

	private hasTakenLeave({id, bornAt}: Pick<Target, 'id' | 'bornAt'>): boolean {
		const leave = this.leaves.get(id);
		return leave !== undefined && leave.bornAt === bornAt;
	}

	private forgetLeaves(now: number): void {
		for (const [id, leave] of this.leaves) {
			leave.unregisteredAt = this.entries.has(id) ? undefined : leave.unregisteredAt ?? now;
			if (leave.unregisteredAt !== undefined && now - leave.unregisteredAt > leaveMemoryMs) {
				this.leaves.delete(id);
			}
		}
	}

	/*
	 * A target that restarts at its address, or another that is given it, registers before the registration of the one
	 * before has lapsed: of several at one address the last that is not known to be gone counts.
	 */
	private index(): void {
		const holders = new Map<string, Target>();
		for (const {target, isGone} of this.entries.values()) {
			if (!isGone) {
				holders.set(`${target.address}:${target.port}`, target);
			}
		}

		this.byService = new Map();
		for (const target of holders.values()) {
			if (!target.isLeaving && !this.hasTakenLeave(target)) {
				const targets = this.byService.get(target.service) ?? [];
				targets.push(target);
				this.byService.set(target.service, targets);
			}
		}
	}
}
