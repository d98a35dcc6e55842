import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Target} from '../../src/fleet/target.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {LimitedNetwork} from './limited-network.js';
import {makeSimulatedEntry} from './make-simulated-entry.js';
import {makeUnreliableStore} from './make-unreliable-store.js';
import {SimulatedConnections} from './simulated-connections.js';
import {type SimulatedEntry} from './simulated-entry.js';

/** The document that an operator or a target last wrote under a key, and when, milliseconds. */
type ExpectedDocument = {readonly value: unknown; readonly at: number};
type RestoreOptions = {
	/** Outage of the store before it is restored, milliseconds. */
	readonly outageMs: number;
	/** Time after the restore until operator and targets write lost keys again, milliseconds. */
	readonly rewriteDelayMs: number;
	/** Whether open waits stay pending instead of being answered at the restore. */
	readonly isSilent?: boolean;
};

type Silence = {
	/** Whether the links between entries, and the connections to the store, are affected. */
	readonly links: boolean;
	readonly store: boolean;
	/** Share of the connections that go silent; all if absent. */
	readonly share?: number;
	readonly allowanceMs: number;
};

const clockStepMs = 10;
const tickMs = 100;
const latencyMs = 2;
const bytesPerSecond = 5_000_000;
const zones = 3;
/** Deadline for a change to be in force at all entries, milliseconds after it was accepted or after the end of a fault that delayed it. */
const configurationDeadlineMs = 2000;
/** Deadline for a leaving target to get no new requests, counted in the same way, milliseconds. */
const drainDeadlineMs = 2000;
/** Deadline after a restore for registered targets to be used again and gone ones not to be, milliseconds. */
const settleDeadlineMs = 3000;
const configurationKey = 'configuration';

const getKey = (id: string): string => `targets/${id}`;

/* An entry that replaces entry 1 is named `1+`, and has another port of the same IP number; `late` has an IP number of its own. */
const makeAddress = (id: string): string => {
	const [digits] = /^\d*/v.exec(id)!;
	return `10.0.0.${digits === '' ? 250 : digits}:${id.length - digits.length + 1}`;
};

/** Simulation of entries that follow one store, on one mock clock. The entries are wired as in a process, without callers and sockets. */
export class StoreSimulation {
	now = 0;
	readonly store = new MemoryStore(() => this.now);
	readonly entries = new Map<string, SimulatedEntry>();
	/** Violations of the guarantees under test, with their times. */
	readonly violations: string[] = [];
	readonly logLines: string[] = [];
	/** Addresses of entries that cannot reach the other entries, and ids of those that cannot reach the store. */
	readonly partitioned = new Set<string>();
	readonly withoutStore = new Set<string>();
	/** Registered targets that an entry has stopped using since `startTrackingUse`. */
	readonly unused = new Set<string>();
	/** Round-trip time of a call to the store, milliseconds, and the share of answers that are lost. */
	storeRoundTripMs = 4;
	lostAnswerShare = 0;
	/** Number of calls of each entry that the store still refuses. */
	readonly refusals = new Map<string, number>();
	version = 0;
	private readonly expectedDocuments = new Map<string, ExpectedDocument>();
	private readonly leftAtById = new Map<string, number>();
	/** Time from which deadlines apply again after the last fault, milliseconds; infinite during a fault. */
	private deadlinesApplyFrom = 0;
	/** Time until which deadlines do not apply because of a silence, milliseconds. */
	private allowedUntil = 0;
	private nextPort = 1000;
	private activeFaults = 0;
	private isTrackingUse = false;
	private scheduled: Array<{readonly at: number; readonly run: () => void}> = [];
	private readonly connections = new Map<string, SimulatedConnections>();
	private readonly callsPerSecond = new Map<string, number>();
	private configuredAt = 0;
	private readonly random: () => number;
	private readonly network = new LimitedNetwork({
		bytesPerSecond, latencyMs, clock: () => this.now, isReachable: (from, to) => !this.partitioned.has(from) && !this.partitioned.has(to),
	});

	/** Maximum number of calls that one entry has made within a second. */
	get busiestSecond(): number {
		return Math.max(0, ...this.callsPerSecond.values());
	}

	constructor(seed: number) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	}

	/** Draws a random whole number below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	/** Starts an entry with the addresses of up to three others as seeds. */
	start(id: string): void {
		const address = makeAddress(id);
		const seeds = [...this.entries.values()].slice(0, 3).map(entry => entry.address);
		const connections = new SimulatedConnections(() => this.now);
		this.connections.set(id, connections);
		const store = makeUnreliableStore(this.store.createClient(id), {
			connections,
			isRefused: () => this.takeRefusal(id),
			onCall: () => {
				this.countCall(id);
			},
			getRoundTripMs: () => this.storeRoundTripMs,
			isLost: () => this.random() < this.lostAnswerShare,
		});
		const entry = makeSimulatedEntry({
			id,
			address,
			availabilityZone: `zone-${this.entries.size % zones}`,
			store,
			connect: async peer => this.network.connect(address, peer),
			clock: () => this.now,
			random: this.random,
			log: line => {
				this.logLines.push(`${this.now} ${id}: ${line}`);
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

	/** Kills an entry without notice. */
	kill(id: string): void {
		const entry = this.entries.get(id)!;
		this.entries.delete(id);
		this.connections.delete(id);
		this.network.disconnect(entry.address);
		entry.state.close();
		entry.path.close();
	}

	/** Writes the next version of the configuration, as the operator does. */
	configure(): void {
		this.version += 1 + this.draw(3);
		this.configuredAt = this.now;
		this.write(configurationKey, this.makeConfiguration(this.version));
	}

	/** Writes any version of the configuration, without expecting it to be in force. */
	writeConfiguration(version: number): void {
		this.store.put(configurationKey, this.makeConfiguration(version));
	}

	/** Registers a target. */
	register(id: string, more: Partial<Target> = {}): void {
		const target: Target = {
			id, service: 'desk', address: '10.1.0.1', port: this.nextPort++, availabilityZone: 'zone-0', slots: 8, isLeaving: false, ...more,
		};
		this.write(getKey(id), target);
	}

	/** Marks the registration of a target as leaving. */
	leave(id: string): void {
		this.leftAtById.set(id, this.now);
		this.write(getKey(id), {...this.expectedDocuments.get(getKey(id))!.value as Target, isLeaving: true});
	}

	/** Removes the registration of a target, as on its own request or on expiry. */
	remove(id: string): void {
		this.leftAtById.set(id, this.leftAtById.get(id) ?? this.now);
		this.expectedDocuments.delete(getKey(id));
		this.store.remove(getKey(id));
	}

	/** Excludes a registration from rewriting after a restore; the target is not expected to be used. */
	excludeFromRewrite(id: string): void {
		this.expectedDocuments.delete(getKey(id));
	}

	/** Schedules an action after `ms` milliseconds. */
	at(ms: number, run: () => void): void {
		this.scheduled.push({at: this.now + ms, run});
	}

	/** Starts to record registered targets that are no longer used. */
	startTrackingUse(): void {
		this.isTrackingUse = true;
	}

	/**
	 * Makes open connections silent for good, while new ones work; `share` of them, drawn at random. Deadlines of changes that no entry can have
	 * received are counted as after a fault that ends `allowanceMs` later.
	 */
	silenceConnections({links, store, share = 1, allowanceMs}: Silence): void {
		const isAffected = (): boolean => share >= 1 || this.random() < share;
		for (const connections of store ? this.connections.values() : []) {
			connections.silence(isAffected);
		}

		if (links) {
			this.network.silence(isAffected);
		}

		this.allowedUntil = Math.max(this.allowedUntil, this.now + allowanceMs);
	}

	/** Adds idle connections to the store at each entry. */
	addIdleConnections(count: number): void {
		for (const connections of this.connections.values()) {
			connections.addIdle(count);
		}
	}

	/** Suspends deadlines until `resumeDeadlines` was called as often. */
	suspendDeadlines(): void {
		this.activeFaults++;
		this.deadlinesApplyFrom = Number.POSITIVE_INFINITY;
	}

	/** Applies deadlines again from now on, unless another fault is active. */
	resumeDeadlines(): void {
		this.activeFaults--;
		this.deadlinesApplyFrom = this.activeFaults === 0 ? this.now : this.deadlinesApplyFrom;
	}

	/** Restores the store from its backup after an outage; later the writers write again all keys that it has lost. */
	async restoreFromBackup({outageMs: awayMs, rewriteDelayMs: rewriteMs, isSilent}: RestoreOptions): Promise<void> {
		this.suspendDeadlines();
		if (awayMs > 0) {
			this.setFault('down');
			await this.advance(awayMs);
		}

		this.store.restoreCopy(isSilent);
		this.setFault('none');
		await this.advance(rewriteMs);
		this.rewriteLostKeys();
		this.resumeDeadlines();
	}

	/** Writes again all documents that the store has lost, as their writers do. */
	rewriteLostKeys(): void {
		for (const [key, {value}] of this.expectedDocuments) {
			if (this.store.read(key) !== JSON.stringify(value)) {
				this.store.put(key, value);
			}
		}

		// Registrations that were removed or had expired are removed again.
		for (const id of this.leftAtById.keys()) {
			if (!this.expectedDocuments.has(getKey(id))) {
				this.store.remove(getKey(id));
			}
		}
	}

	/** Writes the registration of a target again, as its heartbeat does. */
	rewrite(id: string): void {
		this.store.put(getKey(id), this.expectedDocuments.get(getKey(id))!.value);
	}

	/** Sets the fault of the store for all entries; those in `withoutStore` never reach it. */
	setFault(fault: 'none' | 'down'): void {
		for (const id of this.entries.keys()) {
			this.store.setFault(id, this.withoutStore.has(id) ? 'down' : fault);
		}
	}

	/** Advances the clock by `ms` milliseconds. */
	async advance(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += clockStepMs;
			mock.timers.tick(clockStepMs);
			await yieldTurn();
			this.runScheduled();
			if (this.now % tickMs === 0) {
				this.store.expireLeases();
			}

			for (const entry of this.entries.values()) {
				this.checkEntry(entry);
			}
		}
	}

	/** Ids of registered targets that are not leaving. */
	listStaying(): string[] {
		return [...this.expectedDocuments.keys()].filter(key => key.startsWith(getKey(''))).map(key => key.slice(getKey('').length)).filter(id => !this.leftAtById.has(id));
	}

	/** Number of entries that use a target. */
	countUsing(id: string): number {
		return [...this.entries.values()].filter(entry => this.isUsed(entry, id)).length;
	}

	/** Number of entries that are not registered in the store with their address. */
	countUnregistered(): number {
		return [...this.entries.values()].filter(({id, address}) => this.store.read(`wardswitch/entries/${id}`) !== address).length;
	}

	/** Stops all entries and restores the real timers. */
	close(): void {
		for (const id of this.entries.keys()) {
			this.kill(id);
		}

		mock.timers.reset();
	}

	/* An entry without a configuration in force serves no requests. */
	private isUsed({path, version}: SimulatedEntry, id: string): boolean {
		return version > 0 && path.tracker.directory.list('desk').some(target => target.id === id);
	}

	private write(key: string, value: unknown): void {
		this.expectedDocuments.set(key, {value, at: this.now});
		this.store.put(key, value);
	}

	private runScheduled(): void {
		const due = this.scheduled.filter(({at}) => at <= this.now);
		this.scheduled = this.scheduled.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}
	}

	private checkEntry(entry: SimulatedEntry): void {
		if (this.now % tickMs === 0) {
			entry.state.tick(this.now);
			entry.path.tick();
		}

		this.checkConfiguration(entry);
		this.checkTargets(entry);
	}

	private get deadlinesStart(): number {
		return Math.max(this.deadlinesApplyFrom, this.allowedUntil);
	}

	private checkConfiguration(entry: SimulatedEntry): void {
		const version = entry.state.getTable(this.now)?.version ?? 0;
		if (version < entry.version) {
			this.reportViolation(`entry ${entry.id} went from configuration ${entry.version} to ${version}`);
		}

		entry.version = version;
		if (version > 0) {
			entry.servedVersions.add(version);
		}

		const since = Math.max(this.configuredAt, this.deadlinesStart, entry.startedAt);
		if (version < this.version && this.now - since > configurationDeadlineMs && !this.isIsolated(entry)) {
			this.reportViolation(`entry ${entry.id} has configuration ${version}, ${this.version} was accepted ${this.now - since} ms before`);
		}
	}

	private checkTargets(entry: SimulatedEntry): void {
		for (const [id, leftAt] of this.leftAtById) {
			const isUsed = this.isUsed(entry, id);
			if (isUsed && entry.dropped.has(id)) {
				this.reportViolation(`entry ${entry.id} uses ${id} again, which has left`);
			}

			// No entry may know a departure written during a fault of the store; it takes effect when the registration is not written again.
			const deadlineMs = leftAt < this.deadlinesStart ? settleDeadlineMs : drainDeadlineMs;
			if (isUsed && this.now - Math.max(leftAt, this.deadlinesStart, entry.startedAt) > deadlineMs && !this.isIsolated(entry)) {
				this.reportViolation(`entry ${entry.id} uses ${id}, which left ${this.now - leftAt} ms before`);
			}

			if (isUsed) {
				entry.usedAfterLeave.add(id);
			} else if (entry.version > 0 && (entry.used.has(id) || entry.usedAfterLeave.has(id) || this.now - leftAt > drainDeadlineMs)) {
				entry.dropped.add(id);
			}
		}

		for (const [key, {at}] of this.expectedDocuments) {
			const id = key.slice(getKey('').length);
			const since = Math.max(at, this.deadlinesStart, entry.startedAt);
			const isExpected = key.startsWith(getKey('')) && !this.leftAtById.has(id) && this.now - since > settleDeadlineMs && !this.isIsolated(entry);
			if (isExpected && !this.isUsed(entry, id)) {
				this.reportViolation(`entry ${entry.id} does not use ${id}, which has been registered for ${this.now - at} ms`);
			}
		}

		this.trackUse(entry);
	}

	private trackUse(entry: SimulatedEntry): void {
		const used = new Set(entry.path.tracker.directory.list('desk').map(({id}) => id));
		for (const id of entry.used) {
			if (this.isTrackingUse && !used.has(id) && this.expectedDocuments.has(getKey(id)) && !this.leftAtById.has(id)) {
				this.unused.add(`${id} at ${entry.id}`);
			}
		}

		entry.used = used;
	}

	/* Whether an entry can reach neither the other entries nor the store. */
	private isIsolated({id, address}: SimulatedEntry): boolean {
		return this.partitioned.has(address) && this.withoutStore.has(id);
	}

	/* The first few violations are enough. */
	private reportViolation(violation: string): void {
		if (this.violations.length < 5) {
			this.violations.push(`${this.now} ms: ${violation}`);
		}
	}

	private takeRefusal(id: string): boolean {
		const left = this.refusals.get(id) ?? 0;
		this.refusals.set(id, Math.max(0, left - 1));
		return left > 0;
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
