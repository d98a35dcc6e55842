import {err, ok, type Result} from 'neverthrow';
import {type TargetLink} from '../calls/target-link.js';
import {Problem} from '../requests/problem.js';
import {type ClaimStore} from './claim-store.js';
import {type HeldClaim} from './held-claim.js';
import {type RunGuard} from './run-guard.js';
import {type RunPermit} from './run-permit.js';

type GuardOptions = {
	readonly store: ClaimStore;
	/** Key of the claim in the key-value service. */
	readonly key: string;
	/** Id of the request that claims the key. */
	readonly owner: string;
	readonly bodyHash: string;
	readonly clock: () => number;
};

/** Retry-After of the answer while claims cannot be written, milliseconds. */
const retryAfterMs = 1000;

const makeReuseProblem = (): Problem => new Problem({
	status: 422,
	title: 'Idempotency key reused',
	detail: 'the key was used before for a request with another method, path or body',
	outcome: 'not-run',
	keyState: 'used',
});

const makePlatformProblem = (message: string): Problem => new Problem({
	status: 503,
	title: 'Cannot guard against a second run',
	detail: `the claim on the key could not be made: ${message}; a ticket works without the platform`,
	outcome: 'not-run',
	keyState: 'unknown',
	retryAfterMs,
});

/**
 * Guards a request by a claim on its idempotency key in the key-value service. The claim names one target process. A request that finds
 * another owner's claim joins at that process, which alone knows whether the owner's request has reached it.
 */
export function makeClaimGuard(options: GuardOptions): RunGuard {
	let ownClaim: HeldClaim | undefined;
	let otherClaim: HeldClaim | undefined;
	let revision = 0;

	const toPermit = (held: HeldClaim): Result<RunPermit, Problem> => {
		const {claim} = held;
		if (claim.owner === options.owner) {
			ownClaim = held;
			revision = held.revision;
			return ok({
				kind: 'run',
				once: {
					key: options.key, owner: claim.owner, incarnation: claim.incarnation, expiresAt: claim.expiresAt,
				},
			});
		}

		if (claim.bodyHash !== options.bodyHash) {
			return err(makeReuseProblem());
		}

		ownClaim = undefined;
		otherClaim = held;
		return ok({
			kind: 'join', target: claim.target, incarnation: claim.incarnation, key: options.key, owner: claim.owner,
		});
	};

	return {
		isRepeatable: false,
		target: undefined,
		async admit(link: TargetLink) {
			const claim = {
				owner: options.owner, bodyHash: options.bodyHash, target: link.vm.id, incarnation: link.incarnation!,
			};
			const held = await options.store.put(options.key, claim, revision, options.clock());
			return held.isErr() ? err(makePlatformProblem(held.error.message)) : toPermit(held.value);
		},
		takeOver() {
			revision = otherClaim!.revision;
		},
		noteOwnershipRefused() {
			ownClaim = undefined;
			revision = 0;
		},
		async abandon() {
			if (!ownClaim) {
				return 'unknown';
			}

			return await options.store.release(options.key, ownClaim.revision) ? 'unused' : 'unknown';
		},
	};
}
