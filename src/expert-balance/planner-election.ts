import {type Registry} from '../key-value/registry.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredItem} from '../view/stored-item.js';
import {toTerm} from './to-term.js';

type ElectionOptions = {
	readonly registry: Registry;
	readonly key: string;
	/** Address on which this process accepts links. */
	readonly address: string;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** The planner key as this process knows it. */
type ElectionState = {
	/** Era of the store that this process's view reflects. */
	readonly era: number;
	/** The key's value by this process's view. */
	readonly holder: StoredItem | undefined;
	/** Address of the current planner by this process's view; undefined if there is none, also if the key does not hold an address. */
	readonly planner: string | undefined;
	/** The key's value in the store itself, which differs from the view for a while after the store was restored from a backup. */
	readonly stored: StoredItem | undefined;
};

type HeldTerm = {readonly term: number; readonly era: number; readonly revision: Revision; readonly lease: string; renewAt: number; reacquireAt: number};

/** Duration of the planner's lease, and time between renewals, milliseconds. A crashed planner is replaced once its lease has expired. */
const leaseMs = 2500;
const renewIntervalMs = 800;
/**
 * Maximum random delay before a campaign for a vacant key, milliseconds, so that most processes see the winner before
 * they campaign themselves; the first of 16 campaigns after about a twentieth of it.
 */
const maximumCampaignDelayMs = 800;
/** Delay after a failed attempt, milliseconds. */
const retryDelayMs = 1000;

/**
 * Leader election for a group's planner, by a key under a lease. The lease only avoids duplicate work: a planner that does
 * not know yet that its term has ended is fenced off by the number of its term, which is made of the key's era and revision.
 */
export class PlannerElection {
	private heldTerm: HeldTerm | undefined;
	private campaignAt: number | undefined;
	private isBusy = false;

	constructor(private readonly options: ElectionOptions) {}

	/** This process's term; undefined while it is not the planner. */
	get term(): number | undefined {
		return this.heldTerm?.term;
	}

	/** Revision of the planner key with which this process's term began; undefined while it is not the planner. */
	get revision(): Revision | undefined {
		return this.heldTerm?.revision;
	}

	/**
	 * Renews the lease, steps down or campaigns.
	 *
	 * @param known - state of the planner key; undefined while it is unknown, in which case this process does not campaign
	 * @param isStuck - whether the group is held and the current planner does not release it
	 */
	async tick(now: number, known: ElectionState | undefined, isStuck: boolean): Promise<void> {
		if (this.isBusy || (known === undefined && this.heldTerm === undefined)) {
			return;
		}

		this.isBusy = true;
		try {
			await (this.heldTerm ? this.maintain(this.heldTerm, now, known) : this.campaign(now, known!, isStuck));
		} finally {
			this.isBusy = false;
		}
	}

	private async maintain(heldTerm: HeldTerm, now: number, known: ElectionState | undefined): Promise<void> {
		// A store that was restored from a backup may have lost the key or its lease, or have another holder for them.
		if (known && known.era > heldTerm.era) {
			await this.reacquire(heldTerm, now, known);
			return;
		}

		const holderTerm = known?.holder && toTerm({era: known.holder.era, number: known.holder.revision});
		if (holderTerm !== undefined && holderTerm > heldTerm.term) {
			this.stepDown(`term ${holderTerm} has begun`);
			return;
		}

		if (now < heldTerm.renewAt) {
			return;
		}

		heldTerm.renewAt = now + renewIntervalMs;
		const kept = await this.options.registry.keepLease(heldTerm.lease);
		// The term continues while the store does not answer: safety does not depend on the lease.
		if (kept.isOk() && !kept.value) {
			this.stepDown('its lease expired');
		}
	}

	private async reacquire(heldTerm: HeldTerm, now: number, known: ElectionState): Promise<void> {
		if (now < heldTerm.reacquireAt) {
			return;
		}

		heldTerm.reacquireAt = now + retryDelayMs;
		const outcome = await this.acquire(now, known);
		if (outcome === 'refused') {
			this.stepDown(`another planner was elected in era ${known.era} of the store`);
		}
	}

	private stepDown(reason: string): void {
		this.options.log(`stepped down as planner of term ${this.heldTerm!.term}: ${reason}`);
		this.heldTerm = undefined;
		this.campaignAt = undefined;
	}

	private async campaign(now: number, known: ElectionState, isStuck: boolean): Promise<void> {
		// The key holds this process's own address, so its holder was an earlier instance here: no need to wait for the lease to expire.
		const isOwn = known.planner === this.options.address;
		if (known.planner !== undefined && !isStuck && !isOwn) {
			this.campaignAt = undefined;
			return;
		}

		this.campaignAt ??= isOwn ? now : now + (this.options.random() * maximumCampaignDelayMs);
		if (now < this.campaignAt) {
			return;
		}

		this.campaignAt = now + retryDelayMs;
		await this.acquire(now, known);
	}

	private async acquire(now: number, {stored}: ElectionState): Promise<'taken' | 'refused' | 'failed'> {
		const {registry, key, address, log} = this.options;
		const lease = await registry.grantLeaseFor(leaseMs);
		if (lease.isErr()) {
			return 'failed';
		}

		const written = await registry.commit({conditions: [{key, revision: stored?.revision ?? 0}], puts: [{key, value: address, lease: lease.value}]});
		if (written.isErr()) {
			return 'failed';
		}

		if (written.value === undefined) {
			return 'refused';
		}

		this.heldTerm = {
			term: toTerm(written.value), era: written.value.era, revision: written.value, lease: lease.value, renewAt: now + renewIntervalMs, reacquireAt: now,
		};
		log(`elected planner, term ${this.heldTerm.term}`);
		return 'taken';
	}
}
