import {type Registry} from '../key-value/registry.js';
import {type StoredItem} from '../view/stored-item.js';
import {toTerm} from './to-term.js';

type ElectionOptions = {
	readonly registry: Registry;
	readonly key: string;
	/** Where this process takes links. */
	readonly address: string;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** The key of the office as this process knows it. */
type ElectionState = {
	/** Era of the store that the process's view is of. */
	readonly era: number;
	/** Who is taken to hold the office. */
	readonly holder: StoredItem | undefined;
	/** What the store itself holds, which differs for a while after it has come back from a copy. */
	readonly stored: StoredItem | undefined;
};

type HeldTerm = {readonly term: number; readonly era: number; readonly lease: string; renewAt: number; reacquireAt: number};

/** Life of the office without renewal, and time between renewals, milliseconds: a dead planner is replaced within it. */
const leaseMs = 2500;
const renewIntervalMs = 800;
/**
 * Longest pause before an empty office is sought, milliseconds, so that most hear of the first who took it before they
 * seek it themselves; the first of 16 does so after a twentieth of that.
 */
const maximumCampaignDelayMs = 800;
/** Pause after a try that failed, milliseconds. */
const retryDelayMs = 1000;

/**
 * Seeks and keeps the office of a group's planner, a key under a lease. It only avoids double work: the number of a
 * term, made of the era and revision of the key, is what fences a planner that does not know yet that its term is over.
 */
export class PlannerElection {
	private heldTerm: HeldTerm | undefined;
	private campaignAt: number | undefined;
	private isBusy = false;

	constructor(private readonly options: ElectionOptions) {}

	/** This process's term of office; undefined while it has none. */
	get term(): number | undefined {
		return this.heldTerm?.term;
	}

	/**
	 * Keeps, leaves or seeks the office.
	 *
	 * @param known - undefined while nothing is known of the office, which is not sought then
	 * @param isStuck - whether a group is held and the planner in office does not let it go on
	 */
	async tick(now: number, known: ElectionState | undefined, isStuck: boolean): Promise<void> {
		if (this.isBusy || (known === undefined && this.heldTerm === undefined)) {
			return;
		}

		this.isBusy = true;
		await (this.heldTerm ? this.maintain(this.heldTerm, now, known) : this.campaign(now, known!, isStuck));
		this.isBusy = false;
	}

	private async maintain(heldTerm: HeldTerm, now: number, known: ElectionState | undefined): Promise<void> {
		// A store that has come back from a copy has lost the key, its lease or both, or given them to another.
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
		// While the store does not answer the office is kept: safety does not rest on it.
		if (kept.isOk() && !kept.value) {
			this.stepDown('its lease lapsed');
		}
	}

	private async reacquire(heldTerm: HeldTerm, now: number, known: ElectionState): Promise<void> {
		if (now < heldTerm.reacquireAt) {
			return;
		}

		heldTerm.reacquireAt = now + retryDelayMs;
		const outcome = await this.acquire(now, known);
		if (outcome === 'refused') {
			this.stepDown(`another has taken the office in era ${known.era} of the store`);
		}
	}

	private stepDown(reason: string): void {
		this.options.log(`planner's term ${this.heldTerm!.term} is over: ${reason}`);
		this.heldTerm = undefined;
		this.campaignAt = undefined;
	}

	private async campaign(now: number, known: ElectionState, isStuck: boolean): Promise<void> {
		// Who held the office before this process was started here is gone: the office need not lapse first.
		const isOwn = known.holder?.value === this.options.address;
		if (known.holder && !isStuck && !isOwn) {
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
			term: toTerm(written.value), era: written.value.era, lease: lease.value, renewAt: now + renewIntervalMs, reacquireAt: now,
		};
		log(`planner's term ${this.heldTerm.term} begins here`);
		return 'taken';
	}
}
