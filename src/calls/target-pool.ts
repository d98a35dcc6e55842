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
	/** Targets of one service that links are kept to. */
	readonly subsetSize: number;
	readonly openLink: (vm: Vm) => TargetLink;
};

type Choice = RoutingRequest & {
	readonly service: string;
	/** Targets that have refused or lost this request already. */
	readonly excluded: ReadonlySet<string>;
	readonly now: number;
};

type Service = {readonly kind: 'model' | 'plain'; vms: Vm[]; picked: Vm[]};
type PooledLink = {readonly link: TargetLink; readonly circuit: CircuitBreaker; readonly hash: number};

/** Share of a service's targets that may be kept out for failing; the rest are used whatever they did. */
const maximumOpenShare = 1 / 3;

/* Keeps out the targets that fail, those that failed for longest first, up to the share. */
const keepOut = (ready: readonly PooledLink[], now: number): PooledLink[] => {
	const open = ready.filter(({circuit}) => circuit.isOpen(now)).toSorted((one, other) => other.circuit.openUntil - one.circuit.openUntil);
	const out = new Set(open.slice(0, Math.floor(ready.length * maximumOpenShare)));
	return ready.filter(pooled => !out.has(pooled));
};

/** A link outside the subset that was not used for this long is closed, milliseconds. */
const idleMs = 60_000;

/** The targets that this entry knows, and its links to a subset of them. */
export class TargetPool {
	private readonly services = new Map<string, Service>();
	private readonly links = new Map<string, PooledLink>();
	private readonly vms = new Map<string, Vm>();

	constructor(private readonly options: PoolOptions) {}

	/** Takes the platform's list. A target that it calls leaving is still the judge of that itself. */
	noteList(vms: readonly Vm[], now: number): void {
		this.vms.clear();
		for (const service of this.services.values()) {
			service.vms = [];
		}

		for (const vm of vms) {
			if (vm.role !== 'target' || vm.service === undefined) {
				continue;
			}

			this.vms.set(vm.id, vm);
			const service = this.services.get(vm.service) ?? {kind: vm.kind ?? 'plain', vms: [], picked: []};
			service.vms.push(vm);
			this.services.set(vm.service, service);
		}

		for (const service of this.services.values()) {
			this.pick(service);
		}

		this.tick(now);
	}

	/** The kind of a service; undefined when no target of it was ever listed. */
	getKind(service: string): 'model' | 'plain' | undefined {
		return this.services.get(service)?.kind;
	}

	/** Every link with its state, for `status`. */
	list(): TargetLink[] {
		return [...this.links.values()].map(({link}) => link);
	}

	/** The link to a target, opened if need be; undefined when the target is not listed. */
	get(id: string): TargetLink | undefined {
		const vm = this.vms.get(id);
		return this.links.get(id)?.link ?? (vm && this.open(vm).link);
	}

	/** Chooses the target of a request; undefined when none can take it now. */
	choose(choice: Choice): TargetLink | undefined {
		const service = this.services.get(choice.service);
		if (!service) {
			return undefined;
		}

		const ready = service.picked
			.map(vm => this.links.get(vm.id)!)
			.filter(({link}) => link.isReady && !link.isLeaving && !choice.excluded.has(link.vm.id));
		const usable = keepOut(ready, choice.now);
		if (usable.length === 0) {
			this.openMore(service);
		}

		const chosen = chooseTarget(usable.map(pooled => this.describe(pooled)), choice);
		const pooled = chosen && this.links.get(chosen.id);
		pooled?.circuit.noteSend();
		return pooled?.link;
	}

	/** Notes how a target did, for its circuit. */
	noteResult(id: string, isGood: boolean, now: number): void {
		const circuit = this.links.get(id)?.circuit;
		if (isGood) {
			circuit?.noteSuccess();
		} else {
			circuit?.noteFailure(now);
		}
	}

	/** Lets each link see the time, and closes those that are of no more use. */
	tick(now: number): void {
		const picked = new Set([...this.services.values()].flatMap(service => service.picked.map(({id}) => id)));
		for (const [id, {link}] of this.links) {
			link.tick(now);
			const isUnused = link.openCalls === 0 && now - link.usedAt > idleMs;
			const isGone = !this.vms.has(id) && link.openCalls === 0 && !link.isReady;
			if (isGone || (isUnused && !picked.has(id))) {
				link.close();
				this.links.delete(id);
			}
		}
	}

	close(): void {
		for (const {link} of this.links.values()) {
			link.close();
		}
	}

	/* A target that vanished from the list is kept while its link lives: the list lags, and may be cut off. */
	private pick(service: Service): void {
		const {id, availabilityZone, subsetSize} = this.options;
		const listed = new Set(service.vms.map(vm => vm.id));
		const unlisted = service.picked.filter(vm => !listed.has(vm.id) && this.links.get(vm.id)?.link.isReady);
		service.picked = [...pickSubset(service.vms, {entry: id, availabilityZone, size: subsetSize}), ...unlisted];
		for (const vm of service.picked) {
			this.open(vm);
		}
	}

	private openMore(service: Service): void {
		const picked = new Set(service.picked.map(({id}) => id));
		const spare = service.vms.find(vm => !picked.has(vm.id) && vm.state === 'live');
		if (spare) {
			service.picked.push(spare);
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

	private describe({link, hash}: PooledLink): Candidate {
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
