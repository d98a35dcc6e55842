import {type Result} from 'neverthrow';
import {type KeyValue} from './key-value.js';
import {type PlatformError} from './platform-error.js';
import {type Revision} from './revision.js';
import {type Transaction} from './transaction.js';

/** The operations with which a process registers itself in the platform's key-value service. */
export type Registry = Pick<KeyValue, 'get' | 'keepLease'> & {
	/** Writes if the conditions hold; returns the new revision, or undefined if they did not hold. */
	commit(transaction: Transaction): Promise<Result<Revision | undefined, PlatformError>>;
	/** Grants a lease of `milliseconds`; keys attached to it are deleted when it expires. */
	grantLeaseFor(milliseconds: number): Promise<Result<string, PlatformError>>;
};
