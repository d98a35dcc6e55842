import {GroupIndex} from '../fleet/group-index.js';
import {groupKeys} from '../fleet/group-keys.js';
import {RouteTable} from '../fleet/route-table.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {ProblemLog} from '../log/problem-log.js';
import {type StoreView} from '../view/store-view.js';
import {type FleetSource} from './fleet-source.js';

type StateOptions = {
	readonly view: StoreView;
	readonly source: FleetSource;
	readonly directory: TargetDirectory;
	readonly log: (message: string) => void;
	readonly onTable: (table: RouteTable) => void;
	/** Called with the id of a target that takes no more requests. */
	readonly onLeave: (target: string) => void;
	/** Called with the id of a target that has restarted. */
	readonly onRestart: (target: string) => void;
	/** Called with a group, as `SERVICE/GROUP`, that has been formed again. */
	readonly onGroupFormed: (failureDomain: string) => void;
};

/** The configuration and the targets that this process uses, derived from its view of the store. */
export class FleetState {
	private current: RouteTable | undefined;
	private readonly groups = new GroupIndex();
	private readonly configurationProblems: ProblemLog;
	private readonly groupProblems: ProblemLog;
	private readonly registrationProblems: ProblemLog;

	constructor(private readonly options: StateOptions) {
		const {log} = options;
		this.configurationProblems = new ProblemLog(problem => {
			log(`configuration not accepted: ${problem}; keeping version ${this.current?.version ?? 'none'}`);
		});
		this.groupProblems = new ProblemLog(problem => {
			log(`list of a group not accepted: ${problem}`);
		});
		this.registrationProblems = new ProblemLog(problem => {
			log(`registration not accepted: ${problem}`);
		});
	}

	/** The configuration in force; undefined while none is known. */
	get table(): RouteTable | undefined {
		return this.current;
	}

	/** Updates configuration, groups and targets from the view; `now` in milliseconds. */
	refresh(now: number): void {
		this.refreshTable();
		this.refreshGroups();
		this.refreshTargets(now);
	}

	/**
	 * Notes that a target (one incarnation, by its time of birth) is leaving; true when that was not known.
	 *
	 * @param source - where this is known from, for the log
	 */
	noteLeave(target: Pick<Target, 'id' | 'bornAt'>, source: string, now: number): boolean {
		const isNew = this.options.directory.noteDeparture(target, now);
		if (isNew) {
			this.options.log(`target ${target.id} is leaving: ${source}`);
			this.options.onLeave(target.id);
		}

		return isNew;
	}

	/** Removes targets that have not registered again after an outage of the store. */
	tick(now: number): void {
		for (const {id} of this.options.directory.expire(now)) {
			this.options.log(`target ${id} is gone: it has not registered again`);
			this.options.onLeave(id);
		}
	}

	private refreshGroups(): void {
		const problems: string[] = [];
		const formed = this.groups.replace(this.options.view.list(groupKeys.prefix), problem => {
			problems.push(problem);
		});
		this.groupProblems.update(problems);
		for (const group of formed) {
			this.options.log(`group ${group} has been formed again`);
			this.options.onGroupFormed(group);
		}
	}

	private refreshTable(): void {
		const {view, source, log, onTable} = this.options;
		try {
			const configuration = source.readConfiguration(view);
			this.configurationProblems.update([]);
			// An older version never replaces a newer one, whatever its source.
			if (!configuration || configuration.version <= (this.current?.version ?? -1)) {
				return;
			}

			this.current = new RouteTable(configuration);
			log(`configuration ${configuration.version} in force, store era ${view.asOf.era} revision ${view.asOf.number}`);
			onTable(this.current);
		} catch (error) {
			this.configurationProblems.update([(error as Error).message]);
		}
	}

	/* A registration of an unknown service is ignored: it may have the address of a target of a configured one. */
	private readTargets(): Target[] {
		const {view, source} = this.options;
		const problems = new Set<string>();
		const registered = source.readTargets(view, problem => {
			problems.add(problem);
		});
		const targets = registered.filter(({id, service}) => {
			const isConfigured = !this.current || this.current.findService(service) !== undefined;
			if (!isConfigured) {
				problems.add(describeItemProblem(id, new Error(`service ${service} is not configured`)));
			}

			return isConfigured;
		});
		this.registrationProblems.update(problems);
		return targets.map(target => {
			const group = this.groups.getGroup(target.service, `${target.address}:${target.port}`);
			return group === undefined ? target : {...target, group};
		});
	}

	private refreshTargets(now: number): void {
		const {view, source, directory, log, onLeave, onRestart} = this.options;
		const targets = this.readTargets();
		const droppedTargets = source.readTargets({list: () => [...view.listDropped()]}, () => undefined);
		const dropped = new Set(droppedTargets.map(({id}) => id));
		const {gone, renewed} = directory.replace(targets, now, view.mayReturnUntil, dropped);
		for (const {id} of gone) {
			log(`target ${id} is gone: its registration was removed`);
			onLeave(id);
		}

		for (const {id, bornAt} of renewed) {
			log(`target ${id} has restarted, born ${bornAt}`);
			onRestart(id);
		}

		// Kept by time of birth, so that an outdated registration, as in an older backup of the store, does not revoke it.
		for (const target of targets.filter(({isLeaving}) => isLeaving)) {
			this.noteLeave(target, 'its registration says so', now);
		}
	}
}
