import {err, ok} from 'neverthrow';
import {type ChangeFeed} from '../../src/key-value/change-feed.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type Registry} from '../../src/key-value/registry.js';
import {type RemovedKey} from '../../src/key-value/removed-key.js';
import {type StoredValue} from '../../src/key-value/stored-value.js';

type Change = StoredValue | RemovedKey;
type Fault = 'none' | 'down' | 'hanging';
type Item = StoredValue & {readonly lease: string | undefined};
type Lease = {readonly lifeMs: number; endsAt: number};
type Copy = {readonly items: ReadonlyMap<string, Item>; readonly revision: number; readonly leases: ReadonlyMap<string, Lease>; readonly granted: number};

/** Time after its wait at which an unanswered call fails with a timeout, milliseconds. */
const clientTimeoutMarginMs = 700;

/** An in-memory stand-in of the key-value service, with leases, watches, and faults per client process. */
export class MemoryStore {
	/** Whether the era in its answers rises when it is restored from a copy. */
	reportsEra = true;
	/** Number of calls by process. */
	readonly calls = new Map<string, number>();
	/** Arrival times of the calls that write, milliseconds. */
	readonly writeTimes: number[] = [];
	private items = new Map<string, Item>();
	private history: Change[] = [];
	private revision = 0;
	private era = 0;
	private compactedTo = 0;
	/** Calls that wait for changes: the calling process, and the revision that it has seen. */
	private readonly waiters = new Map<() => void, {readonly process: string; readonly after: number}>();
	/** Waiting calls that are never answered; they fail with the client's timeout. */
	private readonly unansweredWaiters = new Set<() => void>();
	private readonly faults = new Map<string, Fault>();
	private leases = new Map<string, Lease>();
	/** Number of granted leases; the latest lease's id. */
	private granted = 0;
	private copy: Copy | undefined;

	/**
	 * @param clock - the present time, milliseconds; leases never expire while it does not advance
	 */
	constructor(private readonly clock = () => 0) {}

	/** Revision of the latest write. */
	get lastRevision(): number {
		return this.revision;
	}

	/** Writes a key as an operator or a target does. */
	put(key: string, value: unknown, lease?: string): void {
		this.revision++;
		const item = {
			key, value: typeof value === 'string' ? value : JSON.stringify(value), revision: this.revision, lease,
		};
		this.items.set(key, item);
		this.recordChange(item);
	}

	/** Removes a key, as the service does when a lease expires. */
	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.recordChange({key, revision: this.revision, isRemoved: true});
		}
	}

	/** Returns the value of a key; undefined if there is none. */
	read(key: string): string | undefined {
		return this.items.get(key)?.value;
	}

	/** Compacts the history of changes; reads from an earlier revision then have to start again. */
	compact(): void {
		this.history = [];
		this.compactedTo = this.revision;
		this.wakeWaiters();
	}

	/** Takes the copy that `restoreCopy` restores. */
	takeCopy(): void {
		this.copy = {
			items: new Map(this.items), revision: this.revision, leases: new Map(this.leases), granted: this.granted,
		};
	}

	/**
	 * Restores the copy taken last and begins a new era: later writes are lost, and their revisions are assigned again.
	 *
	 * @param isSilent - whether calls that wait for changes keep waiting instead of being answered
	 */
	restoreCopy(isSilent = false): void {
		const {items, revision, leases, granted} = this.copy!;
		this.items = new Map(items);
		this.revision = revision;
		this.leases = new Map(leases);
		this.granted = granted;
		this.history = this.history.filter(change => change.revision <= revision);
		this.compactedTo = Math.min(this.compactedTo, revision);
		this.era += this.reportsEra ? 1 : 0;
		if (!isSilent) {
			this.wakeWaiters();
		}
	}

	/** Leaves the calls that wait now unanswered, except those of the process `spared`, as on half-open connections. */
	hangWaits(spared: string): void {
		for (const [waiter, {process}] of this.waiters) {
			if (process !== spared) {
				this.unansweredWaiters.add(waiter);
			}
		}
	}

	/** Sets the fault that all calls of a process meet. */
	setFault(process: string, fault: Fault): void {
		if (fault !== this.getFault(process)) {
			this.faults.set(process, fault);
			this.wakeWaiters();
		}
	}

	/** Returns the fault that the calls of a process meet. */
	getFault(process: string): Fault {
		return this.faults.get(process) ?? 'none';
	}

	/** Removes the leases that were not renewed in time, and their keys. */
	expireLeases(): void {
		const now = this.clock();
		for (const [id, {endsAt}] of this.leases) {
			if (endsAt <= now) {
				this.leases.delete(id);
				for (const {key} of [...this.items.values()].filter(({lease}) => lease === id)) {
					this.remove(key);
				}
			}
		}
	}

	/** Creates the client that one process uses. */
	createClient(process: string): ChangeFeed & Registry {
		const fail = () => err(new PlatformError('the store does not answer', 'unknown'));
		const isFaulty = () => this.getFault(process) !== 'none';
		const count = () => {
			this.calls.set(process, (this.calls.get(process) ?? 0) + 1);
		};

		return {
			list: async prefix => {
				count();
				return isFaulty()
					? fail()
					: ok({era: this.era, asOf: this.revision, items: [...this.items.values()].filter(({key}) => key.startsWith(prefix))});
			},
			poll: async (prefix, after, waitMs) => {
				count();
				const isAnswered = await this.waitFor(process, after, waitMs);
				if (isFaulty() || !isAnswered) {
					return fail();
				}

				return after < this.compactedTo || after > this.revision
					? ok({kind: 'forgotten' as const, era: this.era})
					: ok({
						kind: 'changes' as const, era: this.era, asOf: this.revision, changes: this.history.filter(change => change.revision > after && change.key.startsWith(prefix)),
					});
			},
			reconnect() {
				// There are no connections.
			},
			get: async key => isFaulty() ? fail() : ok(this.items.get(key)),
			commit: async ({conditions, puts, deletes}) => {
				count();
				this.writeTimes.push(this.clock());
				if (isFaulty()) {
					return fail();
				}

				if (conditions.some(({key, revision}) => (this.items.get(key)?.revision ?? 0) !== revision)) {
					return ok(undefined);
				}

				if (puts.some(({lease}) => lease !== undefined && !this.leases.has(lease))) {
					return err(new PlatformError('no such lease', 'no'));
				}

				for (const {key, value, lease} of puts) {
					this.put(key, value, lease);
				}

				for (const key of deletes ?? []) {
					this.remove(key);
				}

				return ok({era: this.era, number: this.revision});
			},
			grantLeaseFor: async lifeMs => {
				count();
				this.writeTimes.push(this.clock());
				if (isFaulty()) {
					return fail();
				}

				const id = String(++this.granted);
				this.leases.set(id, {lifeMs, endsAt: this.clock() + lifeMs});
				return ok(id);
			},
			keepLease: async id => {
				count();
				if (isFaulty()) {
					return fail();
				}

				const lease = this.leases.get(id);
				if (lease) {
					lease.endsAt = this.clock() + lease.lifeMs;
				}

				return ok(lease !== undefined);
			},
		};
	}

	private recordChange(change: Change): void {
		this.history.push(change);
		for (const [waiter, {after}] of this.waiters) {
			if (this.revision > after && !this.unansweredWaiters.has(waiter)) {
				waiter();
			}
		}
	}

	private wakeWaiters(): void {
		for (const waiter of this.waiters.keys()) {
			if (!this.unansweredWaiters.has(waiter)) {
				waiter();
			}
		}
	}

	/* Waits for a change after a revision or for the end of the wait; false if the call is left unanswered. */
	private async waitFor(process: string, after: number, waitMs: number): Promise<boolean> {
		if (this.revision !== after) {
			return true;
		}

		return new Promise<boolean>(resolve => {
			const answerWaiter = (): void => {
				clearTimeout(timer);
				this.waiters.delete(answerWaiter);
				resolve(true);
			};

			const end = (): void => {
				if (this.unansweredWaiters.delete(answerWaiter)) {
					this.waiters.delete(answerWaiter);
					setTimeout(resolve, clientTimeoutMarginMs, false);
				} else {
					answerWaiter();
				}
			};

			const timer = setTimeout(end, waitMs);
			this.waiters.set(answerWaiter, {process, after});
		});
	}
}
