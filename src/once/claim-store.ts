import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {type KeyValue} from '../key-value/key-value.js';
import {parseJsonItem} from '../key-value/parse-json-item.js';
import {PlatformError} from '../key-value/platform-error.js';
import {type Transaction} from '../key-value/transaction.js';
import {type ClaimLease} from './claim-lease.js';
import {Claim} from './claim.js';
import {type HeldClaim} from './held-claim.js';

type NewClaim = Omit<Claim, 'at' | 'expiresAt'>;

/** Maximum number of attempts to write a claim. */
const maximumAttempts = 3;

/** Reads and writes the claims on idempotency keys in the key-value service. */
export class ClaimStore {
	/** The store key of a claim. */
	static getKey(service: string, organisation: string, key: string): string {
		const name = createHash('sha256').update(key).digest('hex').slice(0, 32);
		return `wardswitch/claims/${service}/${organisation}/${name}`;
	}

	constructor(private readonly keyValue: KeyValue, private readonly lease: ClaimLease) {}

	async read(key: string): Promise<Result<HeldClaim | undefined, PlatformError>> {
		const stored = await this.keyValue.get(key);
		return stored.andThen(value => {
			if (!value) {
				return ok(undefined);
			}

			return parseJsonItem(value, Claim)
				.map(claim => ({claim, revision: value.revision}))
				.mapErr(problem => new PlatformError(`claim not accepted: ${problem}`, 'no'));
		});
	}

	/**
	 * Writes a claim if the key still has `revision` (0: absent).
	 *
	 * After a lost answer the key is read back. Retrying is safe: all attempts have the same owner and the same condition, so at most one
	 * takes effect.
	 *
	 * @param now - milliseconds since the epoch
	 * @returns the claim that the store holds now: the given one, or one that was written first
	 */
	async put(key: string, claim: NewClaim, revision: number, now: number): Promise<Result<HeldClaim, PlatformError>> {
		const lease = await this.lease.get(now);
		if (lease.isErr()) {
			return err(lease.error);
		}

		const full: Claim = {...claim, at: now, expiresAt: lease.value.expiresAt};
		let failure: PlatformError | undefined;
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			const written = await this.keyValue.commit({
				conditions: [{key, revision}],
				puts: [{key, value: JSON.stringify(full), lease: lease.value.lease}],
			});
			if (written.isOk() && written.value !== undefined) {
				return ok({claim: full, revision: written.value});
			}

			const held = await this.read(key);
			if (held.isOk() && held.value && held.value.revision !== revision) {
				return ok(held.value);
			}

			failure = written.isErr() ? written.error : undefined;
			if (failure?.written === 'no') {
				break;
			}
		}

		return err(failure ?? new PlatformError('claim: the key changed at each try', 'no'));
	}

	/** Deletes a claim that was never used; returns false if the claim has another owner or the outcome is unknown. */
	async release(key: string, revision: number): Promise<boolean> {
		const transaction: Transaction = {conditions: [{key, revision}], puts: [], deletes: [key]};
		const answer = await this.keyValue.commit(transaction);
		return answer.isOk() && answer.value !== undefined;
	}
}
