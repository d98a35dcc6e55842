import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Target} from '../../src/fleet/target.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {NarrowNetwork} from './narrow-network.js';
import {openStoreEntry} from './open-store-entry.js';
import {reachStore} from './reach-store.js';
import {type StoreEntry} from './store-entry.js';

/** What an operator or a target has written: the document wanted now, and since when. */
type Writing = {readonly value: unknown; readonly at: number};
type Drill = {
	/** For how long the store answers nobody before it is back. */
	readonly awayMs: number;
	/** For how long after its return operator and targets write nothing again. */
	readonly rewriteMs: number;
	readonly isSilent?: boolean;
};

const turnMs = 10;
const tickMs = 100;
const latencyMs = 2;
const bytesPerSecond = 5_000_000;
const zones = 3;
/** Longest time from an accepted change, or from the end of what kept it back, until it is in force everywhere. */
const applyMs = 2000;
/** The same for a target that leaves, until nothing new is sent to it. */
const drainMs = 2000;
/** After a drill, what was registered is used again, and what is gone is not, at the latest after this time. */
const settleMs = 3000;
const configurationKey = 'configuration';

const getKey = (id: string): string => `targets/${id}`;

/** Entries that follow one store, as they are put together in a process but for callers and sockets, by one clock. */
export class StoreCrowd {
	now = 0;
	readonly store = new MemoryStore(() => this.now);
	readonly entries = new Map<string, StoreEntry>();
	/** What must never be seen, with the time. */
	readonly faults: string[] = [];
	readonly lines: string[] = [];
	/** Entries that do not reach the others, and those that do not reach the store. */
	readonly cutOff = new Set<string>();
	readonly withoutStore = new Set<string>();
	/** Targets that are registered, and that an entry has ceased to use since `startWatchingUse`. */
	readonly unused = new Set<string>();
	/** One way of a call of the store and back, milliseconds, and the share of answers that are lost. */
	storeMs = 4;
	lostShare = 0;
	version = 0;
	private readonly writings = new Map<string, Writing>();
	private readonly left = new Map<string, number>();
	/** Until when a bound does not hold yet because of the last drill or cut. */
	private calmAt = 0;
	private nextPort = 1000;
	private troubles = 0;
	private isWatchingUse = false;
	private scheduled: Array<{readonly at: number; readonly run: () => void}> = [];
	private readonly callsPerSecond = new Map<string, number>();
	private configuredAt = 0;
	private readonly random: () => number;
	private readonly network = new NarrowNetwork({
		bytesPerSecond, latencyMs, clock: () => this.now, isReachable: (from, to) => !this.cutOff.has(from) && !this.cutOff.has(to),
	});

	/** Most calls that an entry has made within a second. */
	get busiestSecond(): number {
		return Math.max(0, ...this.callsPerSecond.values());
	}

	constructor(seed: number) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	}

	/** Draws a number below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	/** Starts an entry, which knows where up to three others take links. */
	start(id: string): void {
		const address = `10.0.0.${id}:1`;
		const seeds = [...this.entries.values()].slice(0, 3).map(entry => entry.address);
		const store = reachStore(this.store.createClient(id), {
			onCall: () => {
				this.countCall(id);
			},
			getMs: () => this.storeMs,
			isLost: () => this.random() < this.lostShare,
		});
		const entry = openStoreEntry({
			id,
			address,
			availabilityZone: `zone-${this.entries.size % zones}`,
			store,
			connect: async peer => this.network.connect(address, peer),
			clock: () => this.now,
			random: this.random,
			log: line => {
				this.lines.push(`${this.now} ${id}: ${line}`);
			},
		});
		this.entries.set(id, entry);
		this.network.listen(address, connection => {
			connection.onMessage(message => {
				entry.state.mesh.receive(message, reply => connection.send(reply));
			});
		});
		entry.state.start(seeds);
	}

	/** Ends an entry without notice. */
	kill(id: string): void {
		const entry = this.entries.get(id)!;
		this.entries.delete(id);
		this.network.forget(entry.address);
		entry.state.close();
		entry.path.close();
	}

	/** The operator writes the next version, which the store accepts. */
	configure(): void {
		this.version += 1 + this.draw(3);
		this.configuredAt = this.now;
		this.write(configurationKey, this.makeConfiguration(this.version));
	}

	/** The operator writes a document of the configuration's as it is, whatever it says. */
	writeConfiguration(version: number): void {
		this.store.put(configurationKey, this.makeConfiguration(version));
	}

	/** A target registers. */
	register(id: string, more: Partial<Target> = {}): void {
		const target: Target = {
			id, service: 'desk', address: '10.1.0.1', port: this.nextPort++, availabilityZone: 'zone-0', slots: 8, isLeaving: false, ...more,
		};
		this.write(getKey(id), target);
	}

	/** A target says that it leaves. */
	leave(id: string): void {
		this.left.set(id, this.now);
		this.write(getKey(id), {...this.writings.get(getKey(id))!.value as Target, isLeaving: true});
	}

	/** A target's registration is removed, by itself or since it has been silent. */
	remove(id: string): void {
		this.left.set(id, this.left.get(id) ?? this.now);
		this.writings.delete(getKey(id));
		this.store.remove(getKey(id));
	}

	/** Nobody writes again what a target has registered; it is not expected to be used. */
	forget(id: string): void {
		this.writings.delete(getKey(id));
	}

	/** Has something happen a little later. */
	at(ms: number, run: () => void): void {
		this.scheduled.push({at: this.now + ms, run});
	}

	/** Begins to look for targets that are not used though they are registered. */
	startWatchingUse(): void {
		this.isWatchingUse = true;
	}

	/** No bound on time holds from now on, until `calm` was called as often. */
	disturb(): void {
		this.troubles++;
		this.calmAt = Number.POSITIVE_INFINITY;
	}

	/** Bounds on time hold again, from now, unless another trouble lasts. */
	calm(): void {
		this.troubles--;
		this.calmAt = this.troubles === 0 ? this.now : this.calmAt;
	}

	/** The store goes away and comes back from its copy; later all that it has lost is written again by who wrote it. */
	async drill({awayMs, rewriteMs, isSilent}: Drill): Promise<void> {
		this.disturb();
		if (awayMs > 0) {
			this.setFault('down');
			await this.pass(awayMs);
		}

		this.store.restoreCopy(isSilent);
		this.setFault('none');
		await this.pass(rewriteMs);
		this.rewrite();
		this.calm();
	}

	/** All that the store does not hold is written again by who wrote it. */
	rewrite(): void {
		for (const [key, {value}] of this.writings) {
			if (this.store.read(key) !== JSON.stringify(value)) {
				this.store.put(key, value);
			}
		}

		// Who has left or lapsed takes its registration back, or is silent for too long.
		for (const id of this.left.keys()) {
			if (!this.writings.has(getKey(id))) {
				this.store.remove(getKey(id));
			}
		}
	}

	/** Sets what calls to the store come to for all entries, but for those that are without it. */
	setFault(fault: 'none' | 'down'): void {
		for (const id of this.entries.keys()) {
			this.store.setFault(id, this.withoutStore.has(id) ? 'down' : fault);
		}
	}

	/** Lets time pass. */
	async pass(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += turnMs;
			mock.timers.tick(turnMs);
			await yieldTurn();
			this.runDue();
			if (this.now % tickMs === 0) {
				this.store.expireLeases();
			}

			for (const entry of this.entries.values()) {
				this.look(entry);
			}
		}
	}

	/** Targets that are registered and do not leave. */
	listStaying(): string[] {
		return [...this.writings.keys()].filter(key => key.startsWith(getKey(''))).map(key => key.slice(getKey('').length)).filter(id => !this.left.has(id));
	}

	/** Entries that send to a target. */
	countUsing(id: string): number {
		return [...this.entries.values()].filter(entry => this.isUsed(entry, id)).length;
	}

	/** Entries whose address is not in the store. */
	countUnregistered(): number {
		return [...this.entries.values()].filter(({id, address}) => this.store.read(`wardswitch/entries/${id}`) !== address).length;
	}

	/** Ends what runs, and gives real time back. */
	close(): void {
		for (const id of this.entries.keys()) {
			this.kill(id);
		}

		mock.timers.reset();
	}

	/* An entry without a configuration in force serves nobody. */
	private isUsed({path, version}: StoreEntry, id: string): boolean {
		return version > 0 && path.book.directory.list('desk').some(target => target.id === id);
	}

	private write(key: string, value: unknown): void {
		this.writings.set(key, {value, at: this.now});
		this.store.put(key, value);
	}

	private runDue(): void {
		const due = this.scheduled.filter(({at}) => at <= this.now);
		this.scheduled = this.scheduled.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}
	}

	private look(entry: StoreEntry): void {
		if (this.now % tickMs === 0) {
			entry.state.tick(this.now);
			entry.path.tick();
		}

		this.checkConfiguration(entry);
		this.checkTargets(entry);
	}

	private checkConfiguration(entry: StoreEntry): void {
		const version = entry.state.getTable(this.now)?.version ?? 0;
		if (version < entry.version) {
			this.report(`entry ${entry.id} went from configuration ${entry.version} to ${version}`);
		}

		entry.version = version;
		if (version > 0) {
			entry.servedVersions.add(version);
		}

		const since = Math.max(this.configuredAt, this.calmAt, entry.startedAt);
		if (version < this.version && this.now - since > applyMs && !this.isApart(entry)) {
			this.report(`entry ${entry.id} has configuration ${version}, ${this.version} was accepted ${this.now - since} ms before`);
		}
	}

	private checkTargets(entry: StoreEntry): void {
		for (const [id, leftAt] of this.left) {
			const isUsed = this.isUsed(entry, id);
			if (isUsed && entry.dropped.has(id)) {
				this.report(`entry ${entry.id} sends to ${id} again, which has left`);
			}

			// What was said while the store was in trouble may be known to no entry: it is over when nobody writes it again.
			const boundMs = leftAt < this.calmAt ? settleMs : drainMs;
			if (isUsed && this.now - Math.max(leftAt, this.calmAt, entry.startedAt) > boundMs && !this.isApart(entry)) {
				this.report(`entry ${entry.id} sends to ${id}, which left ${this.now - leftAt} ms before`);
			}

			if (isUsed) {
				entry.usedAfterLeave.add(id);
			} else if (entry.version > 0 && (entry.used.has(id) || entry.usedAfterLeave.has(id) || this.now - leftAt > drainMs)) {
				entry.dropped.add(id);
			}
		}

		for (const [key, {at}] of this.writings) {
			const id = key.slice(getKey('').length);
			const since = Math.max(at, this.calmAt, entry.startedAt);
			const isExpected = key.startsWith(getKey('')) && !this.left.has(id) && this.now - since > settleMs && !this.isApart(entry);
			if (isExpected && !this.isUsed(entry, id)) {
				this.report(`entry ${entry.id} does not send to ${id}, which has been registered for ${this.now - at} ms`);
			}
		}

		this.noteUse(entry);
	}

	private noteUse(entry: StoreEntry): void {
		const used = new Set(entry.path.book.directory.list('desk').map(({id}) => id));
		for (const id of entry.used) {
			if (this.isWatchingUse && !used.has(id) && this.writings.has(getKey(id)) && !this.left.has(id)) {
				this.unused.add(`${id} at ${entry.id}`);
			}
		}

		entry.used = used;
	}

	/* Whether an entry reaches neither the others nor the store. */
	private isApart({id, address}: StoreEntry): boolean {
		return this.cutOff.has(address) && this.withoutStore.has(id);
	}

	/* The first of each kind is enough. */
	private report(fault: string): void {
		if (this.faults.length < 5) {
			this.faults.push(`${this.now} ms: ${fault}`);
		}
	}

	private countCall(id: string): void {
		const second = `${id} ${Math.floor(this.now / 1000)}`;
		this.callsPerSecond.set(second, (this.callsPerSecond.get(second) ?? 0) + 1);
	}

	private makeConfiguration(version: number): unknown {
		return {
			version,
			routes: [],
			services: [{name: 'desk', maximumConnections: 100}],
			limits: {
				maximumHeaderBytes: 4096, maximumBodyBytes: 2000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
		};
	}
}
