import {type Result} from 'neverthrow';
import {type PlatformError} from './platform-error.js';
import {type RemovedKey} from './removed-key.js';
import {type StoredValue} from './stored-value.js';

/** The changes from one wait, and the revision to continue from. */
type ChangePage = {readonly kind: 'changes'; readonly era: number; readonly asOf: number; readonly changes: ReadonlyArray<StoredValue | RemovedKey>};
/** The service no longer has the requested change history. */
type LostHistory = {readonly kind: 'forgotten'; readonly era: number};
type Changes = ChangePage | LostHistory;

/** All keys under a prefix, and the service's revision at the start of the read. */
type Listing = {readonly era: number; readonly asOf: number; readonly items: readonly StoredValue[]};

/**
 * The key-value service as a source of changes. Every function makes one or more calls, which the platform counts. The era increases each
 * time the service is restored from an older backup and assigns revision numbers again; it is 0 if the service does not report one.
 */
export type ChangeFeed = {
	/** Reads all keys that start with `prefix`. */
	list(prefix: string): Promise<Result<Listing, PlatformError>>;
	/** Waits up to `waitMs` milliseconds for changes after the revision `after`. */
	poll(prefix: string, after: number, waitMs: number): Promise<Result<Changes, PlatformError>>;
	/** Makes all later calls on new connections: the open ones may be silent. Waits in progress end with an error. */
	reconnect(): void;
};
