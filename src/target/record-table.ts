import {type Execution} from './execution.js';

type RecordTableOptions = {
	/** Ended requests and tombstones kept at most. */
	readonly maximum: number;
	/** Age below which a tombstone or the record of a key is never dropped, milliseconds. */
	readonly minimumAgeMs: number;
};

type Timestamped = {readonly at: number};

/**
 * What a target process remembers of requests: those that run, those that ended, and those that must never start.
 *
 * The memory is bounded. When it is full of what may not be forgotten yet, `isFull` says so and new requests that
 * may run only once are refused, rather than an old one being forgotten.
 */
export class RecordTable {
	private readonly executions = new Map<string, Execution>();
	private readonly byKey = new Map<string, Execution>();
	private readonly tombstones = new Map<string, Timestamped>();
	private readonly ended = new Map<string, Timestamped>();

	constructor(private readonly options: RecordTableOptions) {}

	get isFull(): boolean {
		return this.tombstones.size + this.ended.size >= this.options.maximum;
	}

	get size(): number {
		return this.executions.size + this.tombstones.size;
	}

	get(id: string, attempt: number): Execution | undefined {
		return this.executions.get(`${id}/${attempt}`);
	}

	getByKey(key: string): Execution | undefined {
		return this.byKey.get(key);
	}

	/** All requests known, ended ones included. */
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

	/** Notes that a request ended; it may be forgotten from now on, oldest first. */
	noteEnd(execution: Execution, now: number): void {
		const {id, attempt} = execution.request;
		this.ended.set(`${id}/${attempt}`, {at: now});
		this.evictOld(now);
	}

	/** Forgets a request that never started. */
	remove(execution: Execution): void {
		const {id, attempt, once} = execution.request;
		this.executions.delete(`${id}/${attempt}`);
		if (once && this.byKey.get(once.key) === execution) {
			this.byKey.delete(once.key);
		}
	}

	/**
	 * Makes sure that the named request never starts here.
	 *
	 * @returns false when there is no room to remember it, so nothing may be promised
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
		for (const stones of [this.ended, this.tombstones]) {
			for (const [name, stone] of stones) {
				const isOld = now - stone.at >= this.options.minimumAgeMs;
				if (!this.isFull && !isOld) {
					break;
				}

				if (!isOld && !this.mayEvict(name)) {
					break;
				}

				stones.delete(name);
				this.evict(name);
			}
		}
	}

	/* An ended request that may be repeated can go at any time; the others only once they are old. */
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
