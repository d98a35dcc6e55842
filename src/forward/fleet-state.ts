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
	/** Told of a target that takes no more requests. */
	readonly onLeave: (target: string) => void;
	/** Told of a target that has started again under its id. */
	readonly onRestart: (target: string) => void;
	/** Told of a group, as `SERVICE/GROUP`, that has been formed anew. */
	readonly onGroupFormed: (unit: string) => void;
};

/** The configuration and the targets in force at this process, as far as its view of the store goes. */
export class FleetState {
	private current: RouteTable | undefined;
	private readonly groups = new GroupIndex();
	private problem = '';
	/** Registrations that cannot be used, so that each is logged once and not at every change of the store. */
	private refused = new Set<string>();

	constructor(private readonly options: StateOptions) {}

	/** The configuration in force; undefined while none is known. */
	get table(): RouteTable | undefined {
		return this.current;
	}

	/** Takes over what the view holds now. */
	refresh(now: number): void {
		this.refreshTable();
		for (const unit of this.groups.replace(this.options.view.list(groupKeys.prefix))) {
			this.options.log(`group ${unit} has been formed anew`);
			this.options.onGroupFormed(unit);
		}

		this.refreshTargets(now);
	}

	/** Notes that a life of a target leaves: by its registration, its own answer, or what a peer has heard; true when that was not known. */
	noteLeave(target: Pick<Target, 'id' | 'bornAt'>, source: string, now: number): boolean {
		const isNew = this.options.directory.noteLeave(target, now);
		if (isNew) {
			this.options.log(`target ${target.id} is leaving: ${source}`);
			this.options.onLeave(target.id);
		}

		return isNew;
	}

	/** Drops targets whose registration did not come back after an outage. */
	tick(now: number): void {
		for (const {id} of this.options.directory.expire(now)) {
			this.options.log(`target ${id} is gone: its registration did not come back`);
			this.options.onLeave(id);
		}
	}

	private refreshTable(): void {
		const {view, source, log, onTable} = this.options;
		try {
			const configuration = source.readConfiguration(view);
			// An older version never replaces a newer one, whoever names it.
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
				log(`configuration not taken: ${problem}; going on with ${this.current?.version ?? 'none'}`);
			}

			this.problem = problem;
		}
	}

	/* One that names no service may hold the address of a target that does. */
	private readTargets(): Target[] {
		const {view, source, log} = this.options;
		const refused = new Set<string>();
		const registered = source.readTargets(view, problem => {
			refused.add(problem);
		});
		const targets = registered.filter(({id, service}) => {
			const isNamed = !this.current || this.current.findService(service) !== undefined;
			if (!isNamed) {
				refused.add(`${id}: service ${service} is not configured`);
			}

			return isNamed;
		});
		for (const problem of refused) {
			if (!this.refused.has(problem)) {
				log(`registration not taken: ${problem}`);
			}
		}

		this.refused = refused;
		return targets.map(target => {
			const group = this.groups.getGroup(target.service, `${target.address}:${target.port}`);
			return group === undefined ? target : {...target, group};
		});
	}

	private refreshTargets(now: number): void {
		const {view, directory, log, onLeave, onRestart: onRenew} = this.options;
		const targets = this.readTargets();
		const {gone, renewed} = directory.replace(targets, now, view.isReturning(now));
		for (const {id} of gone) {
			log(`target ${id} is gone: its registration was removed`);
			onLeave(id);
		}

		for (const {id, bornAt} of renewed) {
			log(`target ${id} has started again, born ${bornAt}`);
			onRenew(id);
		}

		// Known by the target's life, so that no registration that says otherwise later, as in an older copy, takes it back.
		for (const target of targets.filter(({isLeaving}) => isLeaving)) {
			this.noteLeave(target, 'its registration says so', now);
		}
	}
}
