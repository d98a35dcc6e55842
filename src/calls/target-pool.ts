import {type Vm} from '../vm-list/vm.js';
import {type Candidate} from '../routing/candidate.js';
import {chooseTarget} from '../routing/choose-target.js';
import {CircuitBreaker} from '../routing/circuit-breaker.js';
import {hashText} from '../routing/hash-text.js';
import {pickSubset} from '../routing/pick-subset.js';
import {type RoutingRequest} from '../routing/routing-request.js';
import {type TargetLink} from './target-link.js';

type PoolOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Number of targets of a service that links are kept open to. */
	readonly subsetSize: number;
	readonly openLink: (vm: Vm) => TargetLink;
};

type Choice = RoutingRequest & {
	readonly service: string;
	/** Targets that have already refused or lost this request. */
	readonly excluded: ReadonlySet<string>;
	readonly now: number;
};

/** A service's listed targets, and the subset that links are kept open to. */
type Service = {readonly kind: 'model' | 'plain'; vms: Vm[]; subset: Vm[]};
type PooledLink = {readonly link: TargetLink; readonly circuit: CircuitBreaker; readonly hash: number};

/** Share of a service's ready targets that open circuits may exclude; beyond it, failing targets are used all the same. */
const maximumExcludedShare = 1 / 3;

/* Excludes targets whose circuit is open, those that stay open the longest first, up to the maximum share. */
const excludeFailing = (ready: readonly PooledLink[], now: number): PooledLink[] => {
	const open = ready.filter(({circuit}) => circuit.isOpen(now)).toSorted((one, other) => other.circuit.openUntil - one.circuit.openUntil);
	const out = new Set(open.slice(0, Math.floor(ready.length * maximumExcludedShare)));
	return ready.filter(pooled => !out.has(pooled));
};

/** Time without a request after which a link outside the subset is closed, milliseconds. */
const idleTimeoutMs = 60_000;

/** The listed targets of all services, and this entry's links to a subset of them. */
export class TargetPool {
	private readonly services = new Map<string, Service>();
	private readonly links = new Map<string, PooledLink>();
	private readonly vms = new Map<string, Vm>();

	constructor(private readonly options: PoolOptions) {}

	/** Replaces the listed targets by those of the platform's VM list. Whether a target is leaving is taken from its link, not from the list. */
	updateVms(vms: readonly Vm[], now: number): void {
		this.vms.clear();
		for (const service of this.services.values()) {
			service.vms = [];
		}

		for (const vm of vms) {
			if (vm.role !== 'target' || vm.service === undefined) {
				continue;
			}

			this.vms.set(vm.id, vm);
			const service = this.services.get(vm.service) ?? {kind: vm.kind ?? 'plain', vms: [], subset: []};
			service.vms.push(vm);
			this.services.set(vm.service, service);
		}

		for (const service of this.services.values()) {
			this.updateSubset(service);
		}

		this.tick(now);
	}

	/** Returns the kind of a service; undefined when no target of it was ever listed. */
	getKind(service: string): 'model' | 'plain' | undefined {
		return this.services.get(service)?.kind;
	}

	/** Lists all links of the pool, also those that are not ready. */
	list(): TargetLink[] {
		return [...this.links.values()].map(({link}) => link);
	}

	/** Returns the link to a target, which is opened if necessary; undefined when the target is not listed and has no link. */
	get(id: string): TargetLink | undefined {
		const vm = this.vms.get(id);
		return this.links.get(id)?.link ?? (vm && this.open(vm).link);
	}

	/** Chooses a target for a request; undefined when none is ready now. Then a further target is added to the subset. */
	choose(choice: Choice): TargetLink | undefined {
		const service = this.services.get(choice.service);
		if (!service) {
			return undefined;
		}

		const ready = service.subset
			.map(vm => this.links.get(vm.id)!)
			.filter(({link}) => link.isReady && !link.isLeaving && !choice.excluded.has(link.vm.id));
		const usable = excludeFailing(ready, choice.now);
		if (usable.length === 0) {
			this.extendSubset(service);
		}

		const chosen = chooseTarget(usable.map(pooled => this.makeCandidate(pooled)), choice);
		const pooled = chosen && this.links.get(chosen.id);
		pooled?.circuit.noteSend();
		return pooled?.link;
	}

	/** Records a success or failure of a target for its circuit breaker. */
	noteResult(id: string, isGood: boolean, now: number): void {
		const circuit = this.links.get(id)?.circuit;
		if (isGood) {
			circuit?.noteSuccess();
		} else {
			circuit?.noteFailure(now);
		}
	}

	/** Checks each link's time-outs, and closes links that are idle outside the subset or whose target is gone. */
	tick(now: number): void {
		const picked = new Set([...this.services.values()].flatMap(service => service.subset.map(({id}) => id)));
		for (const [id, {link}] of this.links) {
			link.tick(now);
			const isUnused = link.openCalls === 0 && now - link.lastUsedAt > idleTimeoutMs;
			const isGone = !this.vms.has(id) && link.openCalls === 0 && !link.isReady;
			if (isGone || (isUnused && !picked.has(id))) {
				link.close();
				this.links.delete(id);
			}
		}
	}

	/** Closes every link. */
	close(): void {
		for (const {link} of this.links.values()) {
			link.close();
		}
	}

	/* A target that is no longer listed stays in the subset while its link is ready: the VM list lags behind and may be truncated. */
	private updateSubset(service: Service): void {
		const {id, availabilityZone, subsetSize} = this.options;
		const listed = new Set(service.vms.map(vm => vm.id));
		const unlisted = service.subset.filter(vm => !listed.has(vm.id) && this.links.get(vm.id)?.link.isReady);
		service.subset = [...pickSubset(service.vms, {entry: id, availabilityZone, size: subsetSize}), ...unlisted];
		for (const vm of service.subset) {
			this.open(vm);
		}
	}

	private extendSubset(service: Service): void {
		const picked = new Set(service.subset.map(({id}) => id));
		const spare = service.vms.find(vm => !picked.has(vm.id) && vm.state === 'live');
		if (spare) {
			service.subset.push(spare);
			this.open(spare);
		}
	}

	private open(vm: Vm): PooledLink {
		const known = this.links.get(vm.id);
		if (known?.link.vm.address === vm.address && known.link.vm.linkPort === vm.linkPort) {
			return known;
		}

		known?.link.close();
		const pooled = {link: this.options.openLink(vm), circuit: new CircuitBreaker(), hash: hashText(vm.id)};
		this.links.set(vm.id, pooled);
		return pooled;
	}

	private makeCandidate({link, hash}: PooledLink): Candidate {
		return {
			id: link.vm.id,
			hash,
			isLocal: link.vm.availabilityZone === this.options.availabilityZone,
			running: link.load.running,
			waiting: link.load.waiting,
			sentSinceReport: link.sentSinceReport,
			concurrency: link.load.concurrency,
			serviceMs: link.load.serviceMs,
		};
	}
}
