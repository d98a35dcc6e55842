import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {type PlatformError} from '../key-value/platform-error.js';

type LeaseOptions = {
	readonly keyValue: KeyValue;
	/** Minimum retention of a claim, seconds. */
	readonly retentionSeconds: number;
	/** Time during which one lease is used for new claims, seconds. */
	readonly periodSeconds: number;
};

type LeasePeriod = {readonly lease: string; readonly grantedAt: number};

/** The store lease that an entry's claims are attached to: one per period, so that claims expire together without separate deletes. */
export class ClaimLease {
	private period: LeasePeriod | undefined;
	private pendingGrant: Promise<Result<LeasePeriod, PlatformError>> | undefined;

	constructor(private readonly options: LeaseOptions) {}

	/** The lease for a claim made at `now`, and the expiry of such a claim, both milliseconds since the epoch. */
	async get(now: number): Promise<Result<{readonly lease: string; readonly expiresAt: number}, PlatformError>> {
		const {retentionSeconds, periodSeconds} = this.options;
		if (!this.period || now - this.period.grantedAt >= periodSeconds * 1000) {
			this.pendingGrant ??= this.grant(now);
			const granted = await this.pendingGrant;
			this.pendingGrant = undefined;
			if (granted.isErr()) {
				return err(granted.error);
			}

			this.period = granted.value;
		}

		return ok({lease: this.period.lease, expiresAt: this.period.grantedAt + (retentionSeconds * 1000)});
	}

	/* The period is counted from before the call, so the lease outlives the expiry that is reported. */
	private async grant(now: number): Promise<Result<LeasePeriod, PlatformError>> {
		const {retentionSeconds, periodSeconds, keyValue} = this.options;
		const lease = await keyValue.grantLease(retentionSeconds + periodSeconds);
		return lease.map(id => ({lease: id, grantedAt: now}));
	}
}
