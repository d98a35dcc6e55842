import {Buffer} from 'node:buffer';

type Pair = {value: string; revision: number; lease: string};
type Change = {key: string; value: string; revision: number; isDeletion: boolean};
type Compare = {key: string; modRevision?: string};
type Operation = {requestPut?: {key: string; value: string; lease?: string}; requestDeleteRange?: {key: string}};

/** The state of the key-value stand-in: keys with revisions, leases, and the changes since the start. Times are arguments. */
export class KeyValueStore {
	revision = 0;
	/** Number of deletions by callers; deletions by expired leases do not count. */
	deleteOperations = 0;
	readonly changes: Change[] = [];
	private readonly pairs = new Map<string, Pair>();
	private readonly leases = new Map<string, {expiresAt: number; seconds: number}>();
	private readonly listeners = new Set<() => void>();
	private nextLease = 1;

	/** Lists the keys in [key, end), or the one key if there is no end. Keys are base64 and compared by their bytes. */
	range(key: string, end: string | undefined): Array<{key: string; value: string; mod_revision: string}> {
		const first = Buffer.from(key, 'base64').toString('latin1');
		const last = end === undefined ? undefined : Buffer.from(end, 'base64').toString('latin1');
		return [...this.pairs]
			.map(([name, pair]) => ({name, raw: Buffer.from(name, 'base64').toString('latin1'), pair}))
			.filter(({raw}) => last === undefined ? raw === first : raw >= first && raw < last)
			.toSorted((one, other) => one.raw < other.raw ? -1 : 1)
			.map(({name, pair}) => ({key: name, value: pair.value, mod_revision: String(pair.revision)}));
	}

	/** Applies the operations if every comparison succeeds; false otherwise. */
	transact(compares: Compare[], operations: Operation[]): boolean {
		if (!compares.every(({key, modRevision}) => (this.pairs.get(key)?.revision ?? 0) === Number(modRevision ?? 0))) {
			return false;
		}

		this.deleteOperations += operations.filter(({requestDeleteRange}) => requestDeleteRange).length;
		this.revision++;
		for (const operation of operations) {
			this.apply(operation);
		}

		this.notify();
		return true;
	}

	/** Grants a lease that expires `seconds` after `now` (milliseconds) unless it is renewed, and returns its id. */
	grantLease(seconds: number, now: number): string {
		const id = String(this.nextLease++);
		this.leases.set(id, {expiresAt: now + (seconds * 1000), seconds});
		return id;
	}

	/** Renews a lease and returns its time to live in seconds, 0 if it has expired. */
	renewLease(id: string, now: number): number {
		this.expireLeases(now);
		const lease = this.leases.get(id);
		if (!lease) {
			return 0;
		}

		lease.expiresAt = now + (lease.seconds * 1000);
		return lease.seconds;
	}

	/** Removes the expired leases and their keys. */
	expireLeases(now: number): void {
		for (const [id, lease] of this.leases) {
			if (lease.expiresAt <= now) {
				this.leases.delete(id);
				const operations = [...this.pairs].filter(([, pair]) => pair.lease === id).map(([key]) => ({requestDeleteRange: {key}}));
				this.transact([], operations);
				this.deleteOperations -= operations.length;
			}
		}
	}

	/** Restores an earlier state, as a platform does that is restored from a backup. */
	restore(snapshot: string): void {
		const saved = JSON.parse(snapshot) as {revision: number; pairs: Array<[string, Pair]>};
		this.pairs.clear();
		for (const [key, pair] of saved.pairs) {
			this.pairs.set(key, pair);
		}

		this.revision = saved.revision;
		this.changes.length = 0;
	}

	/** Takes a snapshot of the state for `restore`. */
	takeSnapshot(): string {
		return JSON.stringify({revision: this.revision, pairs: [...this.pairs]});
	}

	/** Calls `listener` after each change until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => this.listeners.delete(listener);
	}

	private apply({requestPut, requestDeleteRange}: Operation): void {
		if (requestPut) {
			const {key, value} = requestPut;
			this.pairs.set(key, {value, revision: this.revision, lease: requestPut.lease ?? '0'});
			this.changes.push({
				key, value, revision: this.revision, isDeletion: false,
			});
		}

		if (requestDeleteRange && this.pairs.delete(requestDeleteRange.key)) {
			this.changes.push({
				key: requestDeleteRange.key, value: '', revision: this.revision, isDeletion: true,
			});
		}
	}

	private notify(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
