import {type Target} from './target.js';

type TargetRecord = {target: Target; missingSince: number | undefined; isGone: boolean};
/** One life of a target that leaves, and since when it is not registered. */
type Departure = {readonly bornAt: number | undefined; unregisteredAt: number | undefined};

/**
 * After the store was away, registrations that lapsed meanwhile come back within about two seconds (the platform's
 * figure) of its return, which is noticed a little later; only then is a missing target taken as gone, milliseconds. A
 * target that has left on purpose cannot be told from those, and may be sent nothing two seconds after it said so: the
 * rest is for the next look at the directory (each 100 ms) and for the way of a request that was sent just before.
 */
const reregistrationGraceMs = 1700;

/**
 * That a target leaves counts for so long after its registration has gone, milliseconds: one that lapsed while the store was away, or
 * that an older copy of the store holds, may still come back as if it had never left.
 */
const departureRetentionMs = 60_000;

/**
 * Peers are told for so long after its registration has gone, milliseconds: one that missed the leaving while the store was away may
 * take the target for one that registers again.
 */
const departureAnnouncementMs = 5000;

const isLaterIncarnation = ({bornAt}: Target, than: Target): boolean => bornAt !== undefined && bornAt > (than.bornAt ?? Number.NEGATIVE_INFINITY);

/** The registered targets of all services. */
export class TargetDirectory {
	private readonly records = new Map<string, TargetRecord>();
	private readonly departures = new Map<string, Departure>();
	private byService = new Map<string, Target[]>();

	/**
	 * Takes the whole list of registrations.
	 *
	 * @param targets - every target registered now, the one written last at the end
	 * @param now - the present, milliseconds
	 * @param isStoreRecovering - whether the store has just returned from an outage, so that lapsed registrations may come back
	 * @returns targets that may no longer be sent anything, and those that have started again under their ids
	 */
	replace(targets: readonly Target[], now: number, isStoreRecovering: boolean): {readonly gone: Target[]; readonly renewed: Target[]} {
		const registered = new Set(targets.map(({id}) => id));
		const renewed: Target[] = [];
		for (const target of targets) {
			const known = this.records.get(target.id);
			const isRestarted = known !== undefined && isLaterIncarnation(target, known.target);
			if (isRestarted) {
				this.departures.delete(target.id);
				renewed.push(target);
			}

			// A life that is gone stays so, however long its registration lingers.
			const isGone = known !== undefined && known.isGone && !isRestarted;
			const isFormerLife = known !== undefined && isLaterIncarnation(known.target, target);
			this.records.set(target.id, {target: isFormerLife ? known.target : target, missingSince: undefined, isGone});
		}

		for (const [id, entry] of this.records) {
			if (!registered.has(id)) {
				entry.missingSince ??= isStoreRecovering ? now : Number.NEGATIVE_INFINITY;
			}
		}

		return {gone: this.expire(now), renewed};
	}

	/** Drops a life of a target that is known to be gone, whatever its registration says. */
	markGone({id, bornAt}: Target): void {
		const entry = this.records.get(id);
		if (entry && entry.target.bornAt === bornAt) {
			entry.isGone = true;
			this.updateIndex();
		}
	}

	/**
	 * Notes that a life of a target has said that it leaves: it gets nothing new from now on, whatever its registration says.
	 *
	 * @returns whether that was not known yet
	 */
	noteDeparture({id, bornAt}: Pick<Target, 'id' | 'bornAt'>, now: number): boolean {
		const known = this.records.get(id)?.target;
		const isFormerLife = known !== undefined && known.bornAt !== bornAt;
		if (isFormerLife || this.hasLeft({id, bornAt})) {
			return false;
		}

		this.departures.set(id, {bornAt, unregisteredAt: known ? undefined : now});
		this.updateIndex();
		return true;
	}

	/** Lives of targets that leave, for peers: those that are registered, or were lately. */
	listDepartures(now: number): Array<Pick<Target, 'id' | 'bornAt'>> {
		const isAnnounced = ({unregisteredAt}: Departure): boolean => unregisteredAt === undefined || now - unregisteredAt <= departureAnnouncementMs;
		return [...this.departures].filter(([, leave]) => isAnnounced(leave)).map(([id, {bornAt}]) => ({id, ...(bornAt !== undefined && {bornAt})}));
	}

	/** Drops targets whose registration did not come back in time; gives those. */
	expire(now: number): Target[] {
		const gone: Target[] = [];
		for (const [id, {target, missingSince: lostAt}] of this.records) {
			if (lostAt !== undefined && now - lostAt >= reregistrationGraceMs) {
				this.records.delete(id);
				gone.push(target);
			}
		}

		this.pruneDepartures(now);
		this.updateIndex();
		return gone;
	}

	/** Targets of a service that take new requests. */
	list(service: string): readonly Target[] {
		return this.byService.get(service) ?? [];
	}

	get(id: string): Target | undefined {
		return this.records.get(id)?.target;
	}

	private hasLeft({id, bornAt}: Pick<Target, 'id' | 'bornAt'>): boolean {
		const leave = this.departures.get(id);
		return leave !== undefined && leave.bornAt === bornAt;
	}

	private pruneDepartures(now: number): void {
		for (const [id, leave] of this.departures) {
			leave.unregisteredAt = this.records.has(id) ? undefined : leave.unregisteredAt ?? now;
			if (leave.unregisteredAt !== undefined && now - leave.unregisteredAt > departureRetentionMs) {
				this.departures.delete(id);
			}
		}
	}

	/*
	 * A target that restarts at its address, or another that is given it, registers before the registration of the one
	 * before has lapsed: of several at one address the last that is not known to be gone counts.
	 */
	private updateIndex(): void {
		const byAddress = new Map<string, Target>();
		for (const {target, isGone} of this.records.values()) {
			if (!isGone) {
				byAddress.set(`${target.address}:${target.port}`, target);
			}
		}

		this.byService = new Map();
		for (const target of byAddress.values()) {
			if (!target.isLeaving && !this.hasLeft(target)) {
				const targets = this.byService.get(target.service) ?? [];
				targets.push(target);
				this.byService.set(target.service, targets);
			}
		}
	}
}
