import {replaceKey} from '../key-value/replace-key.js';
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

/** Duration of the lease, milliseconds: the platform's maximum, to keep the cost of renewals low. */
const leaseMs = 600_000;
/** Interval between renewals of the lease, milliseconds. */
const renewalIntervalMs = 200_000;
/** Interval between two attempts to register or renew, milliseconds. */
const retryIntervalMs = 1000;
/** Time over which processes spread the rewriting of registrations that a restored store lacks, milliseconds, to avoid a burst of writes. */
const rewriteSpreadMs = 2000;

/** The stored value of the key and the era of the store; `item` is absent when the key is missing. */
type StoredRegistration = {readonly era: number; readonly item?: StoredValue};

/** Keeps this process's address in the store under a lease, so that the key is removed when the VM is gone. */
export class Registration {
	private lease: string | undefined;
	private nextAt = 0;
	private isBusy = false;
	/** Revision at which the registration was written, as far as known. */
	private written: Revision | undefined;

	constructor(private readonly options: RegistrationOptions) {}

	/**
	 * Registers, or renews the lease, when due.
	 *
	 * @param known - state of the key in the process's view of the store; undefined while it is unknown
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
		this.nextAt = now + retryIntervalMs;
		try {
			const isDone = this.lease === undefined ? await this.register() : await this.renew();
			this.nextAt = now + (isDone ? renewalIntervalMs : retryIntervalMs);
		} finally {
			this.isBusy = false;
		}
	}

	/*
	 * Detects that the store was restored from a backup (a new era). The key may then be missing, or its lease may belong to another
	 * process, so the registration is written again. If the key is unchanged, it was written before the backup, and the lease is valid.
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
		this.options.log(`${this.options.key} is not in era ${known.era} of the store as written; writing it again in ${Math.round(pauseMs)} ms`);
		this.written = undefined;
		this.lease = undefined;
		this.nextAt = now + pauseMs;
	}

	private async register(): Promise<boolean> {
		const {registry, key, value, log} = this.options;
		const lease = await registry.grantLeaseFor(leaseMs);
		if (lease.isErr()) {
			log(`registration failed, no lease: ${lease.error.message}`);
			return false;
		}

		const written = await replaceKey(registry, {key, put: {value, lease: lease.value}});
		if (written.isErr() || written.value === undefined) {
			log(`registration failed: ${written.isErr() ? written.error.message : 'the key has changed meanwhile'}`);
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
