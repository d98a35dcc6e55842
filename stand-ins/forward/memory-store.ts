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

/** Time beyond its wait after which a call that is not answered is given up on, milliseconds. */
const clientTimeoutMarginMs = 700;

/** A key-value service in memory, with changes and faults for each of the processes that use it. */
export class MemoryStore {
	/** Whether its answers tell that it has come back from a copy. */
	reportsEra = true;
	/** Calls that each process has made. */
	readonly calls = new Map<string, number>();
	/** When calls that write have come in, milliseconds. */
	readonly writeTimes: number[] = [];
	private items = new Map<string, Item>();
	private history: Change[] = [];
	private revision = 0;
	private era = 0;
	private compactedTo = 0;
	/** Calls that wait for changes: of which process, and from which revision they go on. */
	private readonly waiters = new Map<() => void, {readonly process: string; readonly after: number}>();
	/** Calls that wait and are never answered: those who made them give up on them later. */
	private readonly unansweredWaiters = new Set<() => void>();
	private readonly faults = new Map<string, Fault>();
	private leases = new Map<string, Lease>();
	private granted = 0;
	private copy: Copy | undefined;

	/**
	 * @param clock - the present, milliseconds; leases last for ever while it stands still
	 */
	constructor(private readonly clock = () => 0) {}

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

	/** Removes a key, as the service does when a lease lapses. */
	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.recordChange({key, revision: this.revision, isRemoved: true});
		}
	}

	/** What the service holds under a key; undefined when nothing. */
	read(key: string): string | undefined {
		return this.items.get(key)?.value;
	}

	/** Forgets the history of changes. */
	compact(): void {
		this.history = [];
		this.compactedTo = this.revision;
		this.wakeWaiters();
	}

	/** Takes the copy that `goBack` returns to. */
	takeCopy(): void {
		this.copy = {
			items: new Map(this.items), revision: this.revision, leases: new Map(this.leases), granted: this.granted,
		};
	}

	/**
	 * Comes back from the copy taken last, in a new era: what was written since is gone, and its revisions are given out again.
	 *
	 * @param isSilent - whether calls that wait for changes stay as they are instead of being answered
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

	/** Has the calls that wait now never be answered, but for one process's, as on connections that have gone silent. */
	hangWaits(spared: string): void {
		for (const [waiter, {process}] of this.waiters) {
			if (process !== spared) {
				this.unansweredWaiters.add(waiter);
			}
		}
	}

	/** Sets what a process's calls come to. */
	setFault(process: string, fault: Fault): void {
		if (fault !== this.getFault(process)) {
			this.faults.set(process, fault);
			this.wakeWaiters();
		}
	}

	/** What a process's calls come to. */
	getFault(process: string): Fault {
		return this.faults.get(process) ?? 'none';
	}

	/** Ends leases that were not renewed in time, and removes their keys. */
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

	/** The service as one process uses it. */
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
			get: async key => isFaulty() ? fail() : ok(this.items.get(key)),
			commit: async ({conditions, puts}) => {
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

	/* Gives whether the call is answered. */
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
