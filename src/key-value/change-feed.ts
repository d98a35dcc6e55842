import {type Result} from 'neverthrow';
import {type PlatformError} from './platform-error.js';
import {type RemovedKey} from './removed-key.js';
import {type StoredValue} from './stored-value.js';

/** What one wait for changes brought, and the revision to go on from. */
type ChangePage = {readonly kind: 'changes'; readonly era: number; readonly asOf: number; readonly changes: ReadonlyArray<StoredValue | RemovedKey>};
/** The service no longer has the history asked for. */
type LostHistory = {readonly kind: 'forgotten'; readonly era: number};
type Changes = ChangePage | LostHistory;

/** All keys under a prefix, and the service's revision when the reading began. */
type Listing = {readonly era: number; readonly asOf: number; readonly items: readonly StoredValue[]};

/**
 * The key-value service as a source of changes. Every function is one or more calls that the platform counts. The era rises each
 * time the service comes back from an older copy and gives out revisions again; it is 0 where the service does not tell.
 */
export type ChangeFeed = {
	/** Reads all keys that start with `prefix`. */
	list(prefix: string): Promise<Result<Listing, PlatformError>>;
	/** Waits up to `waitMs` milliseconds for changes after the revision `after`. */
	poll(prefix: string, after: number, waitMs: number): Promise<Result<Changes, PlatformError>>;
};
