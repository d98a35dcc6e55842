import {request} from 'undici';
import {z} from 'zod';
import {type TargetSettings} from '../config/target-settings.js';
import {documentAgent} from '../http/document-agent.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {PeerPool} from '../membership/peer-pool.js';
import {ProblemLog} from '../log/problem-log.js';
import {fetchVmList} from '../vm-list/fetch-vm-list.js';
import {parseJsonItem} from '../key-value/parse-json-item.js';
import {type KeyValue} from '../key-value/key-value.js';
import {type VmList} from '../vm-list/vm-list.js';
import {type Vm} from '../vm-list/vm.js';
import {runGuarded} from '../log/run-guarded.js';
import {createEngineClient} from './create-engine-client.js';
import {groupKeys} from './group-keys.js';
import {GroupMap} from './group-map.js';
import {MapCoordinator} from './map-coordinator.js';
import {MapParticipant} from './map-participant.js';

type MemberOptions = {
	readonly settings: TargetSettings;
	readonly keyValue: KeyValue;
	readonly connect: (vm: Vm) => Promise<LinkConnection>;
	readonly hello: () => LinkMessage;
	readonly clock: () => number;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

type Send = (message: LinkMessage) => boolean;

/** Timeout for reading the loads of the experts from the engine, milliseconds. */
const loadsTimeoutMs = 5000;

/** Time between two ticks, and between two checks that the platform has recorded the map in use, milliseconds. */
const tickMs = 100;
const recordIntervalMs = 5000;
const expertLoads = z.object({
	epoch: z.int(),
	map: z.array(z.array(z.array(z.int()))),
	loads: z.array(z.array(z.number())),
});

/** A target process as a member of a group of ranks: participates in map switches and, at rank 0, coordinates them. */
export class GroupMember {
	private readonly group: string;
	private readonly rank: number;
	private readonly peers: PeerPool;
	private readonly participant: MapParticipant;
	private readonly coordinator: MapCoordinator | undefined;
	private list: VmList | undefined;
	private readonly vmProblems: ProblemLog;
	private nextListAt = 0;
	private nextRecordAt = 0;
	private readonly timer: NodeJS.Timeout;
	/** Highest epoch that the platform is known to have recorded. */
	private recordedEpoch = 0;

	constructor(private readonly options: MemberOptions) {
		this.vmProblems = new ProblemLog(problem => {
			options.log(`VM left out: ${problem}`);
		});
		const {settings, connect, hello, clock, random} = options;
		this.group = settings.group!;
		this.rank = settings.rank!;
		this.peers = new PeerPool({
			connect,
			hello,
			clock,
			random,
			onMessage: message => {
				this.receive(message, () => false);
			},
		});
		const engine = createEngineClient(settings.url);
		const shared = {engine, checksFencing: settings.checksFencing, readFence: async () => this.readFence()};
		this.participant = new MapParticipant({
			...shared,
			rank: this.rank,
			send: message => {
				this.sendTo(0, message);
			},
		});
		if (this.rank === 0) {
			this.coordinator = new MapCoordinator({
				...shared,
				ranks: settings.ranks,
				send: (rank, message) => {
					this.sendTo(rank, message);
				},
				onCommit: () => {
					this.nextRecordAt = clock();
				},
				log: options.log,
			});
		}

		this.timer = setInterval(() => {
			runGuarded(options.log, 'periodic check', async () => this.tick());
		}, tickMs);
	}

	/** Handles messages about maps and ignores all others. */
	receive(message: LinkMessage, send: Send): void {
		switch (message.type) {
			case 'map-stage':
			case 'map-prepare':
			case 'map-decision': {
				runGuarded(this.options.log, message.type, async () => this.participant.receive(message));
				break;
			}

			case 'map-propose':
			case 'map-vote':
			case 'map-question': {
				runGuarded(this.options.log, message.type, async () => this.coordinator?.receive(message, this.options.clock()));
				break;
			}

			case 'map-loads-wanted': {
				runGuarded(this.options.log, message.type, async () => this.sendLoads(send));
				break;
			}

			default:
		}
	}

	close(): void {
		clearInterval(this.timer);
		this.peers.close();
	}

	private async tick(): Promise<void> {
		const now = this.options.clock();
		if (now >= this.nextListAt) {
			this.nextListAt = now + (this.options.settings.platform.vmListIntervalMs * (0.5 + this.options.random()));
			await this.readList();
		}

		this.peers.tick(now);
		await this.participant.tick(now);
		await this.coordinator?.tick(now);
		if (this.coordinator && now >= this.nextRecordAt) {
			this.nextRecordAt = now + recordIntervalMs;
			await this.record();
		}
	}

	private async readList(): Promise<void> {
		const {vmList, timeoutMs} = this.options.settings.platform;
		const problems: string[] = [];
		const list = await fetchVmList({
			url: vmList,
			timeoutMs,
			previous: this.list,
			report(problem) {
				problems.push(problem);
			},
		});
		if (list.isOk() && list.value !== this.list) {
			this.vmProblems.update(problems);
			this.list = list.value;
		}
	}

	private sendTo(rank: number, message: LinkMessage): void {
		if (rank === this.rank) {
			this.receive(message, () => false);
			return;
		}

		const vm = this.list?.vms.find(candidate => candidate.group === this.group && candidate.rank === rank);
		if (vm) {
			this.peers.send(vm, message);
		}
	}

	private async readFence(): Promise<number> {
		const plan = await this.options.keyValue.get(groupKeys.plan(this.group));
		if (plan.isErr()) {
			throw plan.error;
		}

		return plan.value?.revision ?? 0;
	}

	private async readLoads(): Promise<z.infer<typeof expertLoads>> {
		const answer = await request(`${this.options.settings.url}/expert-loads`, {dispatcher: documentAgent, signal: AbortSignal.timeout(loadsTimeoutMs)});
		return z.parse(expertLoads, await answer.body.json());
	}

	private async sendLoads(send: Send): Promise<void> {
		try {
			const loads = await this.readLoads();
			send({type: 'map-loads', group: this.group, ...loads} satisfies MessageOf<'map-loads'>);
		} catch (error) {
			this.options.log(`expert loads cannot be read: ${(error as Error).message}`);
		}
	}

	/* Retries until the platform is known to have recorded the map in use, however long it was unavailable. */
	private async record(): Promise<void> {
		try {
			const {epoch, map} = await this.readLoads();
			if (epoch <= this.recordedEpoch) {
				return;
			}

			const {keyValue} = this.options;
			const key = groupKeys.mapInUse(this.group);
			const stored = await keyValue.get(key);
			if (stored.isErr()) {
				return;
			}

			// A map that cannot be read is replaced.
			const storedEpoch = stored.value ? parseJsonItem(stored.value, GroupMap).map(recorded => recorded.epoch).unwrapOr(0) : 0;
			if (storedEpoch < epoch) {
				await keyValue.commit({conditions: [{key, revision: stored.value?.revision ?? 0}], puts: [{key, value: JSON.stringify({epoch, map})}]});
				return;
			}

			this.recordedEpoch = epoch;
		} catch (error) {
			this.options.log(`map in use cannot be recorded: ${(error as Error).message}`);
		}
	}
}
