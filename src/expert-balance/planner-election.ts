import {type Registry} from '../key-value/registry.js';
import {type StoredValue} from '../key-value/stored-value.js';

type ElectionOptions = {
	readonly registry: Registry;
	readonly key: string;
	/** Where this process takes links. */
	readonly address: string;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

type Office = {readonly term: number; readonly lease: string; renewAt: number};

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
 * Seeks and keeps the office of a service's planner, a key under a lease. It only avoids double work: the number of a
 * term, the key's revision, is what fences a planner that does not know yet that its term is over.
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
	 * @param known - who holds the office, as this process knows
	 * @param isStuck - whether a group is held and the planner in office does not let it go on
	 */
	async tick(now: number, known: StoredValue | undefined, isStuck: boolean): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		await (this.office ? this.keep(this.office, now, known) : this.seek(now, known, isStuck));

		this.isBusy = false;
	}

	private async keep(office: Office, now: number, known: StoredValue | undefined): Promise<void> {
		if (known && known.revision > office.term) {
			this.leave(`term ${known.revision} has begun`);
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

	private leave(reason: string): void {
		this.options.log(`planner's term ${this.office!.term} is over: ${reason}`);
		this.office = undefined;
		this.seekAt = undefined;
	}

	private async seek(now: number, known: StoredValue | undefined, isStuck: boolean): Promise<void> {
		// Who held the office before this process was started here is gone: the office need not lapse first.
		const isOwn = known?.value === this.options.address;
		if (known && !isStuck && !isOwn) {
			this.seekAt = undefined;
			return;
		}

		this.seekAt ??= isOwn ? now : now + (this.options.random() * spreadMs);
		if (now < this.seekAt) {
			return;
		}

		this.seekAt = now + retryMs;
		const {registry, key, address, log} = this.options;
		const lease = await registry.grantLeaseFor(lifeMs);
		if (lease.isErr()) {
			return;
		}

		const written = await registry.commit({conditions: [{key, revision: known?.revision ?? 0}], puts: [{key, value: address, lease: lease.value}]});
		if (written.isOk() && written.value !== undefined) {
			this.office = {term: written.value, lease: lease.value, renewAt: now + renewMs};
			log(`planner's term ${written.value} begins here`);
		}
	}
}
