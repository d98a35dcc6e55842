import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';
import {type Registry} from '../key-value/registry.js';

type RegistrationOptions = {
	readonly registry: Registry;
	readonly key: string;
	readonly value: string;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** Life of a registration without renewal, milliseconds: the platform's longest, so that renewals cost little. */
const leaseMs = 600_000;
const renewalIntervalMs = 200_000;
/** Time between two tries to register, milliseconds. */
const retryIntervalMs = 1000;
/** Time over which all processes write again what a copy of the store lacks, milliseconds, so that they do not press it at once. */
const rewriteSpreadMs = 2000;

/** What the store holds under the key, in which era; an item is left out where that is not known. */
type StoredRegistration = {readonly era: number; readonly item?: StoredValue};

/** Keeps this process's address in the store, under a lease so that the key goes when the VM is gone for good. */
export class Registration {
	private lease: string | undefined;
	private nextAt = 0;
	private isBusy = false;
	/** Where the store has the registration, as far as known. */
	private written: Revision | undefined;

	constructor(private readonly options: RegistrationOptions) {}

	/**
	 * Registers, or renews, when it is time.
	 *
	 * @param known - how the key stands in the store, by the process's view; undefined while nothing is known
	 */
	async tick(now: number, known?: StoredRegistration): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.checkEra(now, known);
		if (now < this.nextAt) {
			return;
		}

		this.isBusy = true;
		const isDone = this.lease === undefined ? await this.register() : await this.renew();
		this.isBusy = false;
		this.nextAt = now + (isDone ? renewalIntervalMs : retryIntervalMs);
	}

	/*
	 * A store that has come back from a copy may lack the key, or its lease, which may then be another process's. What it still holds as
	 * it was written is from before the copy, and so is its lease.
	 */
	private checkEra(now: number, known: StoredRegistration | undefined): void {
		if (this.written === undefined || known === undefined || known.era <= this.written.era) {
			return;
		}

		if (known.item?.revision === this.written.number && known.item.value === this.options.value) {
			this.written = {era: known.era, number: this.written.number};
			return;
		}

		const pauseMs = this.options.random() * rewriteSpreadMs;
		this.options.log(`${this.options.key} is not in era ${known.era} of the store, it is written again in ${Math.round(pauseMs)} ms`);
		this.written = undefined;
		this.lease = undefined;
		this.nextAt = now + pauseMs;
	}

	private async register(): Promise<boolean> {
		const {registry, key, value, log} = this.options;
		const lease = await registry.grantLeaseFor(leaseMs);
		if (lease.isErr()) {
			log(`not registered: ${lease.error.message}`);
			return false;
		}

		const written = await registry.commit({conditions: [], puts: [{key, value, lease: lease.value}]});
		if (written.isErr()) {
			log(`not registered: ${written.error.message}`);
			return false;
		}

		this.lease = lease.value;
		this.written = written.value;
		return true;
	}

	private async renew(): Promise<boolean> {
		const kept = await this.options.registry.keepLease(this.lease!);
		if (kept.isOk() && kept.value) {
			return true;
		}

		this.lease = undefined;
		this.written = undefined;
		return false;
	}
}
