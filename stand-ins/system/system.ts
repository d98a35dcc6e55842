import {randomUUID} from 'node:crypto';
import {EntrySettings} from '../../src/config/entry-settings.js';
import {TargetSettings} from '../../src/config/target-settings.js';
import {startEntry} from '../../src/entry/start-entry.js';
import {type RunningEntry} from '../../src/entry/running-entry.js';
import {createEtcdKeyValue} from '../../src/key-value/create-etcd-key-value.js';
import {type KeyValue} from '../../src/key-value/key-value.js';
import {applyTable} from '../../src/table/apply-table.js';
import {parseTable} from '../../src/table/parse-table.js';
import {type RunningTarget} from '../../src/target/running-target.js';
import {startTarget} from '../../src/target/start-target.js';
import {type EngineGroup} from '../engine/engine-group.js';
import {startEngine} from '../engine/start-engine.js';
import {type Engine} from '../engine/engine.js';
import {startKeyValueService} from '../platform/start-key-value-service.js';
import {type KeyValueService} from '../platform/key-value-service.js';
import {startVmList} from '../platform/start-vm-list.js';
import {type VmListService} from '../platform/vm-list-service.js';
import {startPlainService} from '../service/start-plain-service.js';
import {type PlainService} from '../service/plain-service.js';
import {type SystemOptions} from './system-options.js';

type RunningWorker = {readonly id: string; readonly zone: string; readonly url: string; target: RunningTarget; readonly settings: TargetSettings};

const linkKey = 'a1'.repeat(32);
const platformTimeoutMs = 400;
const vmListIntervalMs = 200;

/** A whole system and its stand-ins in one process on loopback, for the demonstration, scenarios and benchmarks. */
export class System {
	readonly entries = new Map<string, RunningEntry>();
	readonly targets = new Map<string, RunningWorker>();
	readonly engines = new Map<string, Engine>();
	readonly services = new Map<string, PlainService>();
	readonly keyValue: KeyValue;

	constructor(
		readonly options: SystemOptions,
		readonly platform: KeyValueService,
		readonly vmList: VmListService,
		readonly group: EngineGroup,
	) {
		this.keyValue = createEtcdKeyValue({url: platform.url, timeoutMs: platformTimeoutMs, onCall: () => undefined});
	}

	/** Applies a table file as `wardswitch table apply` does, and returns the new version. */
	async applyCsv(csv: string, operator: string): Promise<number> {
		const parsed = parseTable(csv)._unsafeUnwrap();
		const applied = await applyTable(this.keyValue, parsed, {
			changeId: randomUUID(), operator, now: this.options.clock(), knownVersion: 0,
		});
		return applied._unsafeUnwrap();
	}

	/** Starts an entry and adds it to the list of VMs. */
	async startEntry(id: string, availabilityZone: string): Promise<RunningEntry> {
		const {
			clock, random, routingRandom, firstHttpPort, entrySettings,
		} = this.options;
		const settings = EntrySettings.parse({
			...this.makeNodeSettings(id, availabilityZone),
			stopDelayMs: 0,
			httpPort: firstHttpPort ? firstHttpPort + this.entries.size : 0,
			...entrySettings,
		});
		const entry = await startEntry(settings, clock, random, routingRandom);
		this.entries.set(id, entry);
		this.addToVmList({
			id, role: 'entry', availabilityZone, linkPort: entry.linkPort, adminPort: entry.adminPort,
		});
		return entry;
	}

	/** Starts a new target process for a worker, with a new incarnation and the same address. */
	async restartTarget(id: string): Promise<void> {
		const worker = this.targets.get(id)!;
		worker.target = await startTarget({...worker.settings, linkPort: worker.target.linkPort}, this.options.clock);
	}

	/** Waits until every entry is ready and linked to the other entries and to all targets. */
	async waitUntilReady(): Promise<void> {
		await this.waitUntil('every entry is ready and linked', () => [...this.entries.values()].every(entry => {
			const status = entry.getStatus() as {targets: Array<{isReady: boolean}>; entries: unknown[]};
			return entry.isReady() && status.entries.length === this.entries.size - 1 && status.targets.length === this.targets.size && status.targets.every(target => target.isReady);
		}));
	}

	/** Polls a condition until it holds; throws after 20 s. */
	async waitUntil(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
		const timeoutMs = 20_000;
		const pollIntervalMs = 10;
		for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += pollIntervalMs) {
			if (await condition()) {
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollIntervalMs);
			});
		}

		throw new Error(`timed out waiting until ${what}`);
	}

	/** Kills all processes of the system and closes the stand-ins. */
	async close(): Promise<void> {
		const parts = [
			...this.entries.values(),
			...[...this.targets.values()].map(({target}) => target),
		];
		await Promise.all(parts.map(async part => part.kill()));
		await Promise.all([...this.engines.values(), ...this.services.values(), this.platform, this.vmList].map(async part => part.close()));
	}

	/** Starts an engine and a target process as a rank of the model service. */
	async addRank(rank: number): Promise<void> {
		const id = `stone-drafts-${rank}`;
		const engine = await startEngine({
			group: this.group, rank, defaultTokens: 8, isPaced: this.options.isPaced ?? false,
		});
		this.engines.set(id, engine);
		await this.addTarget(id, rank, {
			service: 'stone-drafts', kind: 'model', group: 'stone-drafts-a', rank, ranks: this.options.ranks, url: engine.url,
		});
	}

	/** Starts a service and a target process as a worker of the plain service. */
	async addWorker(index: number): Promise<void> {
		const id = `yard-dispatch-${index}`;
		const service = await startPlainService();
		this.services.set(id, service);
		await this.addTarget(id, index, {service: 'yard-dispatch', kind: 'plain', url: service.url});
	}

	private async addTarget(id: string, index: number, own: Readonly<Record<string, unknown>> & {readonly service: string; readonly kind: 'model' | 'plain'; readonly url: string}): Promise<void> {
		const zone = this.options.zones[index % this.options.zones.length];
		const settings = TargetSettings.parse({...this.makeNodeSettings(id, zone), ...own, ...this.options.targetSettings});
		const target = await startTarget(settings, this.options.clock);
		this.targets.set(id, {
			id, zone, url: own.url, target, settings,
		});
		this.addToVmList({
			id, role: 'target', availabilityZone: zone, linkPort: target.linkPort, adminPort: target.adminPort, service: own.service, kind: own.kind, group: settings.group, rank: settings.rank,
		});
	}

	private addToVmList(vm: Omit<VmListService['vms'][number], 'address' | 'region' | 'state'>): void {
		const known = this.vmList.vms.findIndex(({id}) => id === vm.id);
		if (known !== -1) {
			this.vmList.vms.splice(known, 1);
		}

		this.vmList.vms.push({
			...vm, address: '127.0.0.1', region: 'default', state: 'live',
		});
	}

	private makeNodeSettings(id: string, availabilityZone: string): Record<string, unknown> {
		return {
			id,
			availabilityZone,
			linkPort: 0,
			adminPort: 0,
			platform: {
				keyValue: this.platform.url, vmList: this.vmList.url, timeoutMs: platformTimeoutMs, vmListIntervalMs,
			},
			link: {key: linkKey},
		};
	}
}
