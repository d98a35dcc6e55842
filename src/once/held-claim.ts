import {type Claim} from './claim.js';

/** A claim as the platform holds it; `revision` fences older owners. */
export type HeldClaim = {
	readonly claim: Claim;
	readonly revision: number;
};
