import {type Result} from 'neverthrow';
import {type PlatformError} from './platform-error.js';
import {type StoredValue} from './stored-value.js';
import {type Transaction} from './transaction.js';

type Answer<Value> = Promise<Result<Value, PlatformError>>;

/** The operations of the platform's key-value service that the system uses. Every function makes one call, which the platform counts. */
export type KeyValue = {
	/** Reads one key; undefined if absent. */
	get(key: string): Answer<StoredValue | undefined>;
	/** Reads all keys that start with `prefix`. */
	list(prefix: string): Answer<StoredValue[]>;
	/** Writes if the conditions hold; returns the new revision, or undefined if they did not hold. */
	commit(transaction: Transaction): Answer<number | undefined>;
	/** Grants a lease of `seconds`; keys attached to it are deleted when it expires. */
	grantLease(seconds: number): Answer<string>;
	/** Renews a lease; returns false if it has expired. */
	keepLease(lease: string): Answer<boolean>;
	/** Watches keys under `prefix` for changes after `revision` and reports each; resolves when the watch ends. */
	watch(prefix: string, revision: number, onChange: (change: StoredValue) => void, signal: AbortSignal): Answer<void>;
};
