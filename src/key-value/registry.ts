import {type Result} from 'neverthrow';
import {type KeyValue} from './key-value.js';
import {type PlatformError} from './platform-error.js';
import {type Revision} from './revision.js';
import {type Transaction} from './transaction.js';

/** The calls by which a process writes into the platform's key-value service. */
export type Registry = Pick<KeyValue, 'get' | 'keepLease'> & {
	/** Writes if the conditions hold; gives the new revision, or undefined when they did not hold. */
	commit(transaction: Transaction): Promise<Result<Revision | undefined, PlatformError>>;
	/** Grants a lease of `milliseconds`; keys put under it vanish when it lapses. */
	grantLeaseFor(milliseconds: number): Promise<Result<string, PlatformError>>;
};
