import {type Execution} from './execution.js';

type RecordTableOptions = {
	/** Limit on the number of ended requests and tombstones together. */
	readonly maximum: number;
	/** Age below which a tombstone, or the record of a request with a key, is never evicted, milliseconds. */
	readonly minimumAgeMs: number;
};

/** When a request ended or was given a tombstone, milliseconds since the epoch. */
type Timestamped = {readonly at: number};

/**
 * The requests that a target process knows: waiting and running ones, ended ones, and tombstones of those that must never start.
 *
 * The number of records is bounded. While it is full of records that may not be evicted yet, new requests that may run
 * only once are refused: evicting an old record could let its request run a second time.
 */
export class RecordTable {
	private readonly executions = new Map<string, Execution>();
	private readonly byKey = new Map<string, Execution>();
	private readonly tombstones = new Map<string, Timestamped>();
	private readonly ended = new Map<string, Timestamped>();

	constructor(private readonly options: RecordTableOptions) {}

	/** Whether the maximum is reached. */
	get isFull(): boolean {
		return this.tombstones.size + this.ended.size >= this.options.maximum;
	}

	/** Number of requests and tombstones. */
	get size(): number {
		return this.executions.size + this.tombstones.size;
	}

	get(id: string, attempt: number): Execution | undefined {
		return this.executions.get(`${id}/${attempt}`);
	}

	/** Returns the request with an idempotency key or ticket. */
	getByKey(key: string): Execution | undefined {
		return this.byKey.get(key);
	}

	/** Lists all requests, ended ones included. */
	list(): Iterable<Execution> {
		return this.executions.values();
	}

	add(execution: Execution): void {
		const {id, attempt, once} = execution.request;
		this.executions.set(`${id}/${attempt}`, execution);
		if (once) {
			this.byKey.set(once.key, execution);
		}
	}

	/** Notes that a request ended; from now on it may be evicted, oldest first. */
	noteEnd(execution: Execution, now: number): void {
		const {id, attempt} = execution.request;
		this.ended.set(`${id}/${attempt}`, {at: now});
		this.evictOld(now);
	}

	/** Removes a request; no tombstone is left. */
	remove(execution: Execution): void {
		const {id, attempt, once} = execution.request;
		this.executions.delete(`${id}/${attempt}`);
		execution.close();
		if (once && this.byKey.get(once.key) === execution) {
			this.byKey.delete(once.key);
		}
	}

	/**
	 * Records that a request must never start here.
	 *
	 * @param name - `ID/ATTEMPT`, or the owner of a key
	 * @returns false when there is no room for the tombstone, so that the request may still start
	 */
	addTombstone(name: string, now: number): boolean {
		this.evictOld(now);
		if (!this.tombstones.has(name) && this.isFull) {
			return false;
		}

		this.tombstones.set(name, {at: now});
		return true;
	}

	hasTombstone(name: string): boolean {
		return this.tombstones.has(name);
	}

	private evictOld(now: number): void {
		for (const records of [this.ended, this.tombstones]) {
			for (const [name, record] of records) {
				const isOld = now - record.at >= this.options.minimumAgeMs;
				if (!this.isFull && !isOld) {
					break;
				}

				if (!isOld && !this.mayEvict(name)) {
					break;
				}

				records.delete(name);
				this.evict(name);
			}
		}
	}

	/* An ended request without a key may be evicted at any time; the others only at the minimum age. */
	private mayEvict(name: string): boolean {
		const execution = this.executions.get(name);
		return execution !== undefined && execution.request.once === undefined;
	}

	private evict(name: string): void {
		const execution = this.executions.get(name);
		if (execution) {
			this.remove(execution);
		}
	}
}
