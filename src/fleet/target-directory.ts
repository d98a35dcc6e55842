import {type Target} from './target.js';

/** `keptUntil`: when a target whose registration is missing counts as gone, milliseconds. */
type TargetRecord = {target: Target; keptUntil: number | undefined; isGone: boolean};
/** An incarnation that is leaving, and the time since which it is not registered, milliseconds. */
type Departure = {readonly bornAt: number | undefined; unregisteredAt: number | undefined};

/**
 * Maximum time after an outage of the store before a missing target counts as gone, milliseconds. By the platform's specification,
 * registrations that expired during an outage are written again within about two seconds of its end, which is noticed slightly later. A
 * target that left just then cannot be distinguished from those and must receive nothing 2000 ms after its notice. The other 300 ms are for a
 * batch of changes before the removal is seen; the check of the directory (100 ms) and the transit of a request come on top. So this alone
 * does not keep the bound. It decides only on removals seen within 300 ms of the store's return; on later ones `mayReturnUntil` does, 2000 ms
 * after the return was noticed, and the bound holds for removals from 3000 ms after the return on.
 */
const reregistrationGraceMs = 1700;

/**
 * How long a departure is remembered after the registration has disappeared, milliseconds. A registration that expired during an outage
 * of the store, or that a restored backup holds, may reappear as if the target had never left.
 */
const departureRetentionMs = 60_000;

/**
 * How long peers are informed of a departure after the registration has disappeared, milliseconds. A peer that missed it during an outage
 * of the store could mistake the target for one that is registering again.
 */
const departureAnnouncementMs = 5000;

const isLaterIncarnation = ({bornAt}: Target, than: Target): boolean => bornAt !== undefined && bornAt > (than.bornAt ?? Number.NEGATIVE_INFINITY);

/** The registered targets of all services. Times are in milliseconds. */
export class TargetDirectory {
	private readonly records = new Map<string, TargetRecord>();
	private readonly departures = new Map<string, Departure>();
	private byService = new Map<string, Target[]>();

	/**
	 * Replaces the registrations.
	 *
	 * @param targets - all registered targets, in order of writing
	 * @param now - the present time, milliseconds
	 * @param mayReturnUntil - until when registrations may reappear that expired during an outage of the store, milliseconds; by default none may
	 * @param dropped - ids of targets whose registrations are no longer expected to reappear
	 * @returns `gone`: targets that must not be sent anything any more; `renewed`: targets that restarted under their ids
	 */
	replace(targets: readonly Target[], now: number, mayReturnUntil = Number.NEGATIVE_INFINITY, dropped: ReadonlySet<string> = new Set()): {readonly gone: Target[]; readonly renewed: Target[]} {
		const registered = new Set(targets.map(({id}) => id));
		const renewed: Target[] = [];
		for (const target of targets) {
			const known = this.records.get(target.id);
			const isRestarted = known !== undefined && isLaterIncarnation(target, known.target);
			if (isRestarted) {
				this.departures.delete(target.id);
				renewed.push(target);
			}

			// An incarnation that is gone stays gone, even while its registration remains.
			const isGone = known !== undefined && known.isGone && !isRestarted;
			const isOutdated = known !== undefined && isLaterIncarnation(known.target, target);
			this.records.set(target.id, {target: isOutdated ? known.target : target, keptUntil: undefined, isGone});
		}

		for (const [id, record] of this.records) {
			if (!registered.has(id)) {
				record.keptUntil ??= dropped.has(id) ? now : Math.min(now + reregistrationGraceMs, mayReturnUntil);
			}
		}

		return {gone: this.expire(now), renewed};
	}

	/** Marks an incarnation of a target as gone, regardless of its registration. */
	markGone({id, bornAt}: Target): void {
		const record = this.records.get(id);
		if (record && record.target.bornAt === bornAt) {
			record.isGone = true;
			this.updateIndex();
		}
	}

	/**
	 * Records that an incarnation of a target is leaving: it gets no new requests, regardless of its registration.
	 *
	 * @returns whether that is news
	 */
	noteDeparture({id, bornAt}: Pick<Target, 'id' | 'bornAt'>, now: number): boolean {
		const known = this.records.get(id)?.target;
		const isOtherIncarnation = known !== undefined && known.bornAt !== bornAt;
		if (isOtherIncarnation || this.hasLeft({id, bornAt})) {
			return false;
		}

		this.departures.set(id, {bornAt, unregisteredAt: known ? undefined : now});
		this.updateIndex();
		return true;
	}

	/** Incarnations that are leaving, for peers: those that are registered or were until recently. */
	listDepartures(now: number): Array<Pick<Target, 'id' | 'bornAt'>> {
		const isAnnounced = ({unregisteredAt}: Departure): boolean => unregisteredAt === undefined || now - unregisteredAt <= departureAnnouncementMs;
		return [...this.departures].filter(([, leave]) => isAnnounced(leave)).map(([id, {bornAt}]) => ({id, ...(bornAt !== undefined && {bornAt})}));
	}

	/** Drops targets whose registration did not reappear in time; returns them. */
	expire(now: number): Target[] {
		const gone: Target[] = [];
		for (const [id, {target, keptUntil}] of this.records) {
			if (keptUntil !== undefined && now >= keptUntil) {
				this.records.delete(id);
				gone.push(target);
			}
		}

		this.pruneDepartures(now);
		this.updateIndex();
		return gone;
	}

	/** Targets of a service that accept new requests. */
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
	 * A target that restarts, or another one that reuses its address, registers before the previous registration has expired. Of several
	 * targets at one address, the last one that is not known to be gone is used.
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
