import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type ExpertMap} from '../maps/expert-map.js';
import {MapPlanner} from '../maps/map-planner.js';
import {type MapWeights} from '../maps/map-weights.js';
import {type KeyValue} from '../key-value/key-value.js';
import {groupKeys} from './group-keys.js';

type PlannerOptions = {
	readonly id: string;
	readonly group: string;
	readonly keyValue: KeyValue;
	/** Weights of the group's row in the table. */
	readonly getWeights: () => MapWeights;
	/** Sends a message to rank 0's target process; false if it is not connected. */
	readonly send: (message: LinkMessage) => boolean;
	readonly log: (message: string) => void;
	/** Time between two requests for the loads, milliseconds. */
	readonly intervalMs: number;
};

type HeldLease = {readonly lease: string; renewAt: number; expiresAt: number};

/** Duration of the planner's lease, seconds, and time between renewals, milliseconds. */
const leaseSeconds = 10;
const renewIntervalMs = 3000;

/**
 * Plans the maps of one group, at the entry that holds the group's lease. The lease only avoids duplicate work: a
 * proposal of a planner that has lost it is refused because of its fencing number.
 */
export class GroupPlanner {
	/** Why the map was last changed or kept, for `explain`. */
	lastDecision = 'no loads seen yet';

	private planner: {readonly shape: string; readonly weights: string; readonly planner: MapPlanner} | undefined;
	private heldLease: HeldLease | undefined;
	private nextRequestAt = 0;
	private isBusy = false;

	constructor(private readonly options: PlannerOptions) {}

	/** Whether this entry plans for the group at `now`. */
	isHolder(now: number): boolean {
		return this.heldLease !== undefined && now < this.heldLease.expiresAt;
	}

	/** Acquires or renews the lease, and requests the loads when they are due. */
	async tick(now: number): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		await this.maintainLease(now);
		this.isBusy = false;
		if (this.isHolder(now) && now >= this.nextRequestAt) {
			this.nextRequestAt = now + this.options.intervalMs;
			this.options.send({type: 'map-loads-wanted', group: this.options.group});
		}
	}

	/** Handles the loads that rank 0 reported; proposes another map if its gain exceeds its cost. */
	async handleLoads(report: MessageOf<'map-loads'>, now: number): Promise<void> {
		if (!this.isHolder(now)) {
			return;
		}

		const next = this.getPlanner(report).plan(report.map, report.loads);
		if (next === report.map) {
			this.lastDecision = `epoch ${report.epoch} stays: no change pays`;
			return;
		}

		await this.propose(report, next);
	}

	private async propose(report: MessageOf<'map-loads'>, map: ExpertMap): Promise<void> {
		const {keyValue, group, send} = this.options;
		const key = groupKeys.plan(group);
		const present = await keyValue.get(key);
		if (present.isErr()) {
			this.lastDecision = `epoch ${report.epoch} stays: the platform cannot be reached`;
			return;
		}

		const epoch = report.epoch + 1;
		const copy = map.map(ranks => ranks.map(experts => [...experts]));
		const written = await keyValue.commit({
			conditions: [{key, revision: present.value?.revision ?? 0}],
			puts: [{key, value: JSON.stringify({epoch, planner: this.options.id})}],
		});
		if (written.isErr() || written.value === undefined) {
			this.lastDecision = `epoch ${report.epoch} stays: the proposal could not be numbered`;
			return;
		}

		this.lastDecision = `epoch ${epoch} proposed with fencing number ${written.value}`;
		this.options.log(`group ${group}: ${this.lastDecision}`);
		send({
			type: 'map-propose', fence: written.value, epoch, step: 0, map: copy,
		});
	}

	private getPlanner(report: MessageOf<'map-loads'>): MapPlanner {
		const {map, loads} = report;
		const shape = {
			layers: map.length, experts: loads[0].length, ranks: map[0].length, slots: map[0][0].length,
		};
		const weights = this.options.getWeights();
		const names = {shape: JSON.stringify(shape), weights: JSON.stringify(weights)};
		if (this.planner?.shape !== names.shape || this.planner.weights !== names.weights) {
			this.planner = {...names, planner: new MapPlanner(shape, weights)};
		}

		return this.planner.planner;
	}

	private async maintainLease(now: number): Promise<void> {
		const {keyValue, group, id} = this.options;
		if (this.heldLease && now < this.heldLease.renewAt) {
			return;
		}

		if (this.heldLease && now < this.heldLease.expiresAt) {
			const kept = await keyValue.keepLease(this.heldLease.lease);
			if (kept.isOk() && kept.value) {
				this.heldLease.expiresAt = now + (leaseSeconds * 1000);
			}

			this.heldLease.renewAt = now + renewIntervalMs;
			return;
		}

		this.heldLease = undefined;
		const lease = await keyValue.grantLease(leaseSeconds);
		if (lease.isErr()) {
			return;
		}

		const key = groupKeys.planner(group);
		const taken = await keyValue.commit({conditions: [{key, revision: 0}], puts: [{key, value: id, lease: lease.value}]});
		if (taken.isOk() && taken.value !== undefined) {
			this.heldLease = {lease: lease.value, renewAt: now + renewIntervalMs, expiresAt: now + (leaseSeconds * 1000)};
		}
	}
}
