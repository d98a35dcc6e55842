import {type TargetPool} from '../calls/target-pool.js';
import {type MessageOf} from '../link/message-of.js';
import {GroupPlanner} from '../map-switch/group-planner.js';
import {type Membership} from '../membership/membership.js';
import {type KeyValue} from '../key-value/key-value.js';
import {type Vm} from '../vm-list/vm.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {type Row} from '../table/row.js';
import {runGuarded} from '../log/run-guarded.js';

type GroupPlannersOptions = {
	readonly id: string;
	readonly keyValue: KeyValue;
	readonly membership: Membership;
	readonly targets: TargetPool;
	/** Interval between plans, milliseconds. */
	readonly intervalMs: number;
	readonly getRow: (service: string, group: string) => Row | undefined;
	readonly log: (message: string) => void;
};

/** The planners of the groups of ranks for which this entry ranks first by rendezvous hashing. */
export class GroupPlanners {
	private readonly planners = new Map<string, GroupPlanner>();

	constructor(private readonly options: GroupPlannersOptions) {}

	/** Runs the planner of each group that this entry plans for. */
	tick(now: number, vms: readonly Vm[]): void {
		const live = this.options.membership.listLive(now);
		for (const vm of vms) {
			if (vm.group === undefined || vm.rank !== 0) {
				continue;
			}

			const [first] = rankByRendezvous(vm.group, live);
			if (first === this.options.id) {
				runGuarded(this.options.log, `planner of ${vm.group}`, async () => this.getPlanner(vm).tick(now));
			}
		}
	}

	/** Passes expert loads to the planner of their group, if this entry has one. */
	async noteExpertLoads(message: MessageOf<'map-loads'>, now: number): Promise<void> {
		await this.planners.get(message.group)?.handleLoads(message, now);
	}

	/** Returns the last decision on a group's map, for `/explain`; undefined when this entry never planned for the group. */
	explain(group: string): unknown {
		const planner = this.planners.get(group);
		return planner && {group, decision: planner.lastDecision};
	}

	private getPlanner(vm: Vm): GroupPlanner {
		const group = vm.group!;
		const {id, keyValue, intervalMs, log, targets, getRow} = this.options;
		const planner = this.planners.get(group) ?? new GroupPlanner({
			id,
			group,
			keyValue,
			intervalMs,
			log,
			send: message => targets.get(vm.id)?.send(message) ?? false,
			getWeights() {
				const row = getRow(vm.service ?? '', group);
				return {skew: row?.skewWeight ?? 1, move: row?.moveWeight ?? 1};
			},
		});
		this.planners.set(group, planner);
		return planner;
	}
}
