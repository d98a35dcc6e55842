import {performance} from 'node:perf_hooks';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {chooseTarget} from '../src/routing/choose-target.js';
import {hashText} from '../src/routing/hash-text.js';
import {pickSubset} from '../src/routing/pick-subset.js';
import {type Vm} from '../src/vm-list/vm.js';
import {report} from './support/report.js';

type Job = {readonly start: number; readonly end: number};
type Machine = {
	readonly id: string;
	readonly zone: string;
	readonly slowness: number;
	readonly freeAt: Float64Array;
	readonly prefixes: Map<number, true>;
	jobs: Job[];
	served: number;
	busyMs: number;
};
type View = {
	readonly id: string;
	readonly machine: Machine;
	readonly hash: number;
	readonly isLocal: boolean;
	readonly concurrency: number;
	readonly serviceMs: number;
	running: number;
	waiting: number;
	sentSinceReport: number;
};
/** An entry with its views of targets; `refusals` is the number of targets that refused the last request. */
type Entry = {readonly views: View[]; turn: number; refusals: number};
type Policy = (entry: Entry, prefixHash: number, random: () => number, now: number) => View;
type Size = {readonly targets: number; readonly entries: number; readonly zones: number; readonly subset: number; readonly seconds: number};

const concurrency = 16;
const meanServiceMs = 2000;
/** Latency added by a target in another zone, and by each refusal, milliseconds. */
const crossZoneLatencyMs = 3;
const prefixCacheSize = 40;
const prefixCount = 3000;
/** Share of the service time that a cached prefix saves. */
const prefixSaving = 0.25;
const stragglerSlowness = 2.5;
const utilisation = 0.85;
/** Maximum number of targets that a request is offered to before it queues, as in the dispatcher. */
const maximumProbes = 4;

const makeRandom = (seed: number): (() => number) => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

const makeVms = ({targets, zones}: Size): Vm[] => Array.from({length: targets}, (_, index) => ({
	id: `target-${index}`, role: 'target', availabilityZone: `zone-${index % zones}`, region: 'default', address: '', linkPort: 0, state: 'live',
}));

const getWaitMs = (machine: Machine, now: number): number => {
	let free = Number.POSITIVE_INFINITY;
	for (const at of machine.freeAt) {
		free = Math.min(free, at);
	}

	return Math.max(0, free - now);
};

/* A busy target refuses immediately; after `maximumProbes` refusals the request queues at the target with the shortest wait. */
const chooseWithProbes = (entry: Entry, prefixHash: number, random: () => number, now: number): View => {
	const probed: View[] = [];
	while (probed.length < Math.min(maximumProbes, entry.views.length)) {
		const remaining = entry.views.filter(view => !probed.includes(view));
		const view = chooseTarget(remaining, {prefixHash: probed.length === 0 ? prefixHash : undefined, random}) as View;
		entry.refusals = probed.length;
		probed.push(view);
		if (getWaitMs(view.machine, now) === 0) {
			return view;
		}
	}

	entry.refusals = probed.length;
	let best = probed[0];
	for (const view of probed) {
		if (getWaitMs(view.machine, now) < getWaitMs(best.machine, now)) {
			best = view;
		}
	}

	return best;
};

const policies: Readonly<Record<string, Policy>> = {
	'round robin': entry => entry.views[entry.turn++ % entry.views.length],
	'least loaded'(entry) {
		let best = entry.views[0];
		for (const view of entry.views) {
			if (view.running + view.waiting < best.running + best.waiting) {
				best = view;
			}
		}

		return best;
	},
	'power of two'(entry, _prefix, random) {
		const one = entry.views[Math.floor(random() * entry.views.length)];
		const other = entry.views[Math.floor(random() * entry.views.length)];
		return one.running + one.waiting <= other.running + other.waiting ? one : other;
	},
	'one target, no asking': (entry, prefixHash, random) => chooseTarget(entry.views, {prefixHash, random}) as View,
	ours: (entry, prefixHash, random, now) => chooseWithProbes(entry, prefixHash, random, now),
};

/* Upper bound for the policies: knows the current state of all targets and picks the one that is free first. */
const chooseWithFullKnowledge = (machines: readonly Machine[], now: number): Machine => {
	let best = machines[0];
	let earliest = Number.POSITIVE_INFINITY;
	for (const machine of machines) {
		const wait = getWaitMs(machine, now) + (machine.slowness > 1 ? meanServiceMs : 0);
		if (wait < earliest) {
			earliest = wait;
			best = machine;
		}

		if (wait === 0) {
			break;
		}
	}

	return best;
};

const serve = (machine: Machine, prefix: number, now: number, random: () => number): {readonly waitMs: number; readonly isHit: boolean} => {
	let server = 0;
	for (let index = 1; index < machine.freeAt.length; index++) {
		if (machine.freeAt[index] < machine.freeAt[server]) {
			server = index;
		}
	}

	const isHit = machine.prefixes.delete(prefix);
	machine.prefixes.set(prefix, true);
	if (machine.prefixes.size > prefixCacheSize) {
		const [oldest] = machine.prefixes.keys();
		machine.prefixes.delete(oldest);
	}

	// One request in eight is five times as long as the others.
	const length = random() < 0.125 ? 10 / 3 : 2 / 3;
	const serviceMs = meanServiceMs * length * machine.slowness * (isHit ? 1 - prefixSaving : 1);
	const start = Math.max(now, machine.freeAt[server]);
	machine.freeAt[server] = start + serviceMs;
	machine.jobs.push({start, end: start + serviceMs});
	machine.served++;
	machine.busyMs += serviceMs;
	return {waitMs: start - now, isHit};
};

const readLoad = (machine: Machine, now: number): {running: number; waiting: number} => {
	machine.jobs = machine.jobs.filter(({end}) => end > now);
	const running = machine.jobs.filter(({start}) => start <= now).length;
	return {running, waiting: machine.jobs.length - running};
};

const updateReportedLoads = (entries: readonly Entry[], machines: readonly Machine[], now: number): void => {
	const states = new Map(machines.map(machine => [machine.id, readLoad(machine, now)]));
	for (const entry of entries) {
		for (const view of entry.views) {
			Object.assign(view, states.get(view.id), {sentSinceReport: 0});
		}
	}
};

const makeView = (machine: Machine, zone: string): View => ({
	id: machine.id,
	machine,
	hash: hashText(machine.id),
	isLocal: machine.zone === zone,
	running: 0,
	waiting: 0,
	sentSinceReport: 0,
	concurrency,
	serviceMs: meanServiceMs * machine.slowness,
});

const simulate = (size: Size, lagMs: number, name: string): Record<string, string | number> => {
	const random = makeRandom(3);
	const vms = makeVms(size);
	const machines = vms.map(({id, availabilityZone}, index): Machine => ({
		id, zone: availabilityZone, slowness: index === 1 ? stragglerSlowness : 1, freeAt: new Float64Array(concurrency), jobs: [], prefixes: new Map(), served: 0, busyMs: 0,
	}));
	const byId = new Map(machines.map(machine => [machine.id, machine]));
	const entries = Array.from({length: size.entries}, (_, index): Entry => {
		const zone = `zone-${index % size.zones}`;
		const picked = pickSubset(vms, {entry: `entry-${index}`, availabilityZone: zone, size: size.subset});
		return {
			turn: index,
			refusals: 0,
			views: picked.map(vm => makeView(byId.get(vm.id)!, zone)),
		};
	});
	const ratePerMs = utilisation * size.targets * concurrency / meanServiceMs;
	const endMs = size.seconds * 1000;
	const waits: number[] = [];
	let hits = 0;
	let now = 0;
	let nextReport = 0;
	let decidingMs = 0;
	while (now < endMs) {
		// During a tenth of the time the rate is 20% higher; the mean rate stays within the targets' capacity.
		const isBurst = (now % 10_000) < 1000;
		now -= Math.log(1 - random()) / (ratePerMs * (isBurst ? 1.2 : 0.978));
		if (lagMs > 0 && now >= nextReport) {
			nextReport = now + lagMs;
			updateReportedLoads(entries, machines, now);
		}

		const prefix = Math.floor(prefixCount * (random() ** 3));
		const entry = entries[Math.floor(random() * entries.length)];
		if (lagMs === 0) {
			for (const view of entry.views) {
				Object.assign(view, readLoad(view.machine, now), {sentSinceReport: 0});
			}
		}

		const before = performance.now();
		const view = name === 'ideal' ? undefined : policies[name](entry, hashText(String(prefix)), random, now);
		decidingMs += performance.now() - before;
		const machine = view?.machine ?? chooseWithFullKnowledge(machines, now);
		if (view) {
			view.sentSinceReport++;
		}

		const {waitMs, isHit} = serve(machine, prefix, now, random);
		hits += isHit ? 1 : 0;
		if (now > endMs / 4) {
			waits.push(waitMs + (view && !view.isLocal ? crossZoneLatencyMs : 0) + (entry.refusals * crossZoneLatencyMs));
		}
	}

	waits.sort((one, other) => one - other);
	const quantile = (share: number): number => waits[Math.floor(share * (waits.length - 1))];
	const served = machines.reduce((sum, machine) => sum + machine.served, 0);
	return {
		size: `${size.targets}x${size.entries}`,
		lagMs,
		policy: name,
		p50WaitMs: quantile(0.5),
		p95WaitMs: quantile(0.95),
		p99WaitMs: quantile(0.99),
		prefixHitShare: hits / served,
		maxByMeanLoad: Math.max(...machines.map(({busyMs}) => busyMs)) / (machines.reduce((sum, {busyMs}) => sum + busyMs, 0) / machines.length),
		microsecondsPerDecision: decidingMs * 1000 / served,
	};
};

/**
 * Compares routing policies in a seeded simulation that calls the product's decision functions. `--quick` runs one load-report
 * interval.
 */
export async function benchRouting(args: readonly string[]): Promise<void> {
	const sizes: Size[] = [
		{
			targets: 16, entries: 8, zones: 3, subset: 20, seconds: 240,
		},
		{
			targets: 600, entries: 360, zones: 7, subset: 20, seconds: 40,
		},
	];
	const cases = [];
	for (const size of sizes) {
		for (const lagMs of args.includes('--quick') ? [1000] : [0, 500, 1000, 2000, 8000]) {
			if (lagMs === 0 && size.targets > 100) {
				continue;
			}

			for (const name of [...Object.keys(policies), 'ideal']) {
				cases.push(simulate(size, lagMs, name));
			}
		}
	}

	report('routing', cases);
}
