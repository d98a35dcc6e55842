import {GroupIndex} from '../fleet/group-index.js';
import {groupKeys} from '../fleet/group-keys.js';
import {RouteTable} from '../fleet/route-table.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
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
	/** The last configuration error, so that it is logged once. */
	private problem = '';
	/** Problems of invalid registrations, so that each is logged once and not at every change of the store. */
	private registrationProblems = new Set<string>();

	constructor(private readonly options: StateOptions) {}

	/** The configuration in force; undefined while none is known. */
	get table(): RouteTable | undefined {
		return this.current;
	}

	/** Updates configuration, groups and targets from the view; `now` in milliseconds. */
	refresh(now: number): void {
		this.refreshTable();
		for (const group of this.groups.replace(this.options.view.list(groupKeys.prefix))) {
			this.options.log(`group ${group} has been formed again`);
			this.options.onGroupFormed(group);
		}

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

	private refreshTable(): void {
		const {view, source, log, onTable} = this.options;
		try {
			const configuration = source.readConfiguration(view);
			// An older version never replaces a newer one, whatever its source.
			if (!configuration || configuration.version <= (this.current?.version ?? -1)) {
				return;
			}

			this.current = new RouteTable(configuration);
			this.problem = '';
			log(`configuration ${configuration.version} in force, store era ${view.asOf.era} revision ${view.asOf.number}`);
			onTable(this.current);
		} catch (error) {
			const problem = (error as Error).message;
			if (problem !== this.problem) {
				log(`configuration not accepted: ${problem}; keeping version ${this.current?.version ?? 'none'}`);
			}

			this.problem = problem;
		}
	}

	/* A registration of an unknown service is ignored: it may have the address of a target of a configured one. */
	private readTargets(): Target[] {
		const {view, source, log} = this.options;
		const problems = new Set<string>();
		const registered = source.readTargets(view, problem => {
			problems.add(problem);
		});
		const targets = registered.filter(({id, service}) => {
			const isConfigured = !this.current || this.current.findService(service) !== undefined;
			if (!isConfigured) {
				problems.add(`${id}: service ${service} is not configured`);
			}

			return isConfigured;
		});
		for (const problem of problems) {
			if (!this.registrationProblems.has(problem)) {
				log(`registration not accepted: ${problem}`);
			}
		}

		this.registrationProblems = problems;
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
