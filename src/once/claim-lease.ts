import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {type PlatformError} from '../key-value/platform-error.js';

type LeaseOptions = {
	readonly keyValue: KeyValue;
	/** How long each claim is kept at least, seconds. */
	readonly retentionSeconds: number;
	/** How long one lease takes new claims, seconds. */
	readonly periodSeconds: number;
};

type LeasePeriod = {readonly lease: string; readonly grantedAt: number};

/** The lease that an entry hangs its claims on: one for each period, so that claims expire together without a delete each. */
export class ClaimLease {
	private period: LeasePeriod | undefined;
	private pendingGrant: Promise<Result<LeasePeriod, PlatformError>> | undefined;

	constructor(private readonly options: LeaseOptions) {}

	/** The lease for a claim made at `now` (milliseconds), and when such a claim expires. */
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

	/* The term counts from before the call, so that the lease outlives what we say of it. */
	private async grant(now: number): Promise<Result<LeasePeriod, PlatformError>> {
		const {retentionSeconds, periodSeconds, keyValue} = this.options;
		const lease = await keyValue.grantLease(retentionSeconds + periodSeconds);
		return lease.map(id => ({lease: id, grantedAt: now}));
	}
}
