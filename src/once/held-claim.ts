import {type Claim} from './claim.js';

/** A stored claim; writes conditional on `revision` fence off earlier owners. */
export type HeldClaim = {
	readonly claim: Claim;
	readonly revision: number;
};
