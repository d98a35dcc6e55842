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
type Standing = {
	/** Era of the store that the process's view is of. */
	readonly era: number;
	/** Who is taken to hold the office. */
	readonly holder: StoredItem | undefined;
	/** What the store itself holds, which differs for a while after it has come back from a copy. */
	readonly stored: StoredItem | undefined;
};

type Office = {readonly term: number; readonly era: number; readonly lease: string; renewAt: number; retakeAt: number};

/** Life of the office without renewal, and time between renewals, milliseconds: a dead planner is replaced within it. */
const lifeMs = 2500;
const renewMs = 800;
/**
 * Longest pause before an empty office is sought, milliseconds, so that most hear of the first who took it before they
 * seek it themselves; the first of 16 does so after a twentieth of that.
 */
const spreadMs = 800;
/** Pause after a try that failed, milliseconds. */
const retryMs = 1000;

/**
 * Seeks and keeps the office of a group's planner, a key under a lease. It only avoids double work: the number of a
 * term, made of the era and revision of the key, is what fences a planner that does not know yet that its term is over.
 */
export class PlannerElection {
	private office: Office | undefined;
	private seekAt: number | undefined;
	private isBusy = false;

	constructor(private readonly options: ElectionOptions) {}

	/** This process's term of office; undefined while it has none. */
	get term(): number | undefined {
		return this.office?.term;
	}

	/**
	 * Keeps, leaves or seeks the office.
	 *
	 * @param known - undefined while nothing is known of the office, which is not sought then
	 * @param isStuck - whether a group is held and the planner in office does not let it go on
	 */
	async tick(now: number, known: Standing | undefined, isStuck: boolean): Promise<void> {
		if (this.isBusy || (known === undefined && this.office === undefined)) {
			return;
		}

		this.isBusy = true;
		await (this.office ? this.keep(this.office, now, known) : this.seek(now, known!, isStuck));
		this.isBusy = false;
	}

	private async keep(office: Office, now: number, known: Standing | undefined): Promise<void> {
		// A store that has come back from a copy has lost the key, its lease or both, or given them to another.
		if (known && known.era > office.era) {
			await this.takeAgain(office, now, known);
			return;
		}

		const holderTerm = known?.holder && toTerm({era: known.holder.era, number: known.holder.revision});
		if (holderTerm !== undefined && holderTerm > office.term) {
			this.leave(`term ${holderTerm} has begun`);
			return;
		}

		if (now < office.renewAt) {
			return;
		}

		office.renewAt = now + renewMs;
		const kept = await this.options.registry.keepLease(office.lease);
		// While the store does not answer the office is kept: safety does not rest on it.
		if (kept.isOk() && !kept.value) {
			this.leave('its lease lapsed');
		}
	}

	private async takeAgain(office: Office, now: number, known: Standing): Promise<void> {
		if (now < office.retakeAt) {
			return;
		}

		office.retakeAt = now + retryMs;
		const outcome = await this.take(now, known);
		if (outcome === 'refused') {
			this.leave(`another has taken the office in era ${known.era} of the store`);
		}
	}

	private leave(reason: string): void {
		this.options.log(`planner's term ${this.office!.term} is over: ${reason}`);
		this.office = undefined;
		this.seekAt = undefined;
	}

	private async seek(now: number, known: Standing, isStuck: boolean): Promise<void> {
		// Who held the office before this process was started here is gone: the office need not lapse first.
		const isOwn = known.holder?.value === this.options.address;
		if (known.holder && !isStuck && !isOwn) {
			this.seekAt = undefined;
			return;
		}

		this.seekAt ??= isOwn ? now : now + (this.options.random() * spreadMs);
		if (now < this.seekAt) {
			return;
		}

		this.seekAt = now + retryMs;
		await this.take(now, known);
	}

	private async take(now: number, {stored}: Standing): Promise<'taken' | 'refused' | 'failed'> {
		const {registry, key, address, log} = this.options;
		const lease = await registry.grantLeaseFor(lifeMs);
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

		this.office = {
			term: toTerm(written.value), era: written.value.era, lease: lease.value, renewAt: now + renewMs, retakeAt: now,
		};
		log(`planner's term ${this.office.term} begins here`);
		return 'taken';
	}
}
