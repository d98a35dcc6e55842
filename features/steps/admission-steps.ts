import assert from 'node:assert/strict';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {parse} from 'smol-toml';
import {InFlightCounts} from '../../src/balance/in-flight-counts.js';
import {admitStream} from '../../src/decisions/admit-stream.js';
import {GapForecast} from '../../src/decisions/gap-forecast.js';
import {type Route} from '../../src/fleet/route.js';
import {TargetDirectory} from '../../src/fleet/target-directory.js';
import {Target} from '../../src/fleet/target.js';
import {StreamAdmission} from '../../src/forward/stream-admission.js';
import {type LoadResult} from '../../src/model/load-result.js';
import {LoadScenario} from '../../src/model/load-scenario.js';
import {simulateLoad} from '../../src/model/simulate-load.js';
import {policies} from '../../src/model/policies.js';
import {runCommand} from '../support/run-command.js';
import {type SystemWorld} from '../support/system-world.js';

type Comparison = {readonly with: readonly LoadResult[]; readonly without: readonly LoadResult[]};

const pace = {stepMs: 4.55, requestMs: 1.36, stepsPerEvent: 4};
const targetGapMs = 120;

const mean = (results: readonly LoadResult[], key: keyof LoadResult): number => {
	let sum = 0;
	for (const result of results) {
		sum += result[key];
	}

	return sum / results.length;
};

const getComparison = (world: SystemWorld): Comparison => world.notes.get('played') as Comparison;
const getForecast = (world: SystemWorld): GapForecast => world.notes.get('forecast') as GapForecast;
const getMaximumLoad = (world: SystemWorld): number => getForecast(world).getMaximumLoad(targetGapMs, pace)!;

const observePauses = (world: SystemWorld, gapMs: number, load: number, forMs: number): void => {
	const end = (world.notes.get('now') as number) + forMs;
	for (let now = world.notes.get('now') as number; now < end; now += gapMs) {
		getForecast(world).observe({gapMs, load, pace}, now);
	}

	world.notes.set('now', end);
};

Given('the load of {string}', function (this: SystemWorld, file: string) {
	this.notes.set('scenario', LoadScenario.parse(parse(readFileSync(file, 'utf8'))));
});

Given('{int} streams a second', function (this: SystemWorld, streamsPerSecond: number) {
	this.notes.set('scenario', {...this.notes.get('scenario') as LoadScenario, streamsPerSecond});
});

Given('demand that does not shift', function (this: SystemWorld) {
	this.notes.set('scenario', {...this.notes.get('scenario') as LoadScenario, shift: undefined});
});

When('the load is simulated with {int} seeds', function (this: SystemWorld, seeds: number) {
	const scenario = this.notes.get('scenario') as LoadScenario;
	const play = (policy: typeof policies.none): LoadResult[] => Array.from({length: seeds}, (_seed, index) => simulateLoad(scenario, index + 1, policy));
	this.notes.set('played', {with: play(policies.pauses), without: play(policies.none)});
});

Then('the worth is at least {float} above that without admission control', function (this: SystemWorld, gain: number) {
	const played = getComparison(this);
	const [worth, before] = [mean(played.with, 'worth'), mean(played.without, 'worth')];
	assert.ok(worth >= before + gain, `${worth} after ${before}`);
});

Then('no caller is refused twice', function (this: SystemWorld) {
	assert.equal(mean(getComparison(this).with, 'refused'), 0);
});

Given('passes of {int} ms with {int} requests at each target', function (this: SystemWorld, gapMs: number, load: number) {
	this.notes.set('forecast', new GapForecast());
	this.notes.set('now', 0);
	this.notes.set('load', load);
	observePauses(this, gapMs, load, 5000);
	this.notes.set('most', getMaximumLoad(this));
});

When('passes of {int} ms follow for {int} ms', function (this: SystemWorld, gapMs: number, forMs: number) {
	observePauses(this, gapMs, this.notes.get('load') as number, forMs);
});

Then('at least {int} in 100 of the requests admitted before are admitted at each target', function (this: SystemWorld, share: number) {
	const before = this.notes.get('most') as number;
	assert.ok(getMaximumLoad(this) >= before * share / 100, `${getMaximumLoad(this)} after ${before}`);
});

Then('at most {int} in 100 of the requests admitted before are admitted at each target', function (this: SystemWorld, share: number) {
	const before = this.notes.get('most') as number;
	assert.ok(getMaximumLoad(this) <= before * share / 100, `${getMaximumLoad(this)} after ${before}`);
});

Then('a forecast without observations admits a stream with {int} in flight', (inFlight: number) => {
	const admission = admitStream({
		forecast: new GapForecast(), pace, targetGapMs, inFlight, targets: 12, isLate: false,
	});
	assert.equal(admission.kind, 'admitted');
});

When('the command {string} is given a file with {string}', async function (this: SystemWorld, command: string, line: string) {
	const folder = mkdtempSync(path.join(tmpdir(), 'wardswitch-lab-'));
	const file = path.join(folder, 'scenario.toml');
	const [key] = line.split(' ');
	const rest = readFileSync('examples/lab.toml', 'utf8').split('\n').filter(other => !other.startsWith(`${key} `));
	writeFileSync(file, [line, ...rest].join('\n'));
	this.notes.set('outcome', await runCommand([command, file]));
	rmSync(folder, {recursive: true});
});

Then('it ends with code {int} and names {string}', function (this: SystemWorld, code: number, key: string) {
	const outcome = this.notes.get('outcome') as Awaited<ReturnType<typeof runCommand>>;
	assert.equal(outcome.code, code);
	assert.ok(outcome.stderr.includes(key), outcome.stderr);
});

Then('a first request is admitted at a load at which a retry is not', function (this: SystemWorld) {
	const targets = 12;
	const admit = (inFlight: number, isLate: boolean): string => admitStream({
		forecast: getForecast(this), pace, targetGapMs, inFlight, targets, isLate,
	}).kind;
	const loads = Array.from({length: 100}, (_load, inFlight) => inFlight);
	const most = loads.filter(inFlight => admit(inFlight, false) === 'admitted').length;
	const mostLate = loads.filter(inFlight => admit(inFlight, true) === 'admitted').length;
	assert.ok(mostLate < most && mostLate >= most * 0.85, `${mostLate} and ${most}`);
});

const route: Route = {
	name: 'draft',
	host: 'desk.example',
	prefix: '/',
	kind: 'stream',
	timeoutMs: 8000,
	targetLatencyMs: 500,
	targetGapMs,
	destinations: [{service: 'desk', weight: 1}],
	maximumAttempts: 2,
	isPublic: false,
	isResumable: true,
};

const tickMs = 100;
const routes: Readonly<Record<string, Route>> = {
	'a stream': route,
	'a stream without a limit on pauses': {...route, targetGapMs: undefined},
	'a request in one piece': {...route, kind: 'idempotent'},
};

Given('an entry that has measured pauses of {int} ms, with {int} streams at each of {int} targets', function (this: SystemWorld, gapMs: number, streams: number, targets: number) {
	const inFlightCounts = new InFlightCounts();
	const directory = new TargetDirectory();
	const list = Array.from({length: targets}, (_target, index) => Target.parse({
		id: `t${index}`, service: 'desk', address: '10.0.0.1', port: 1000 + index, availabilityZone: 'a', slots: 8, isLeaving: false,
	}));
	directory.replace(list, 0);
	for (const {id} of list) {
		for (let stream = 0; stream < streams; stream++) {
			inFlightCounts.noteStart(id, 0);
		}
	}

	const refusing = new Set<string>();
	const admission = new StreamAdmission({
		inFlightCounts, listAvailable: service => directory.list(service), isHealthy: ({id}) => !refusing.has(id), getService: name => ({name, maximumConnections: 100, pace}),
	});
	for (let now = 0; now < 2000; now += gapMs) {
		admission.noteGap(list[0], gapMs);
		admission.tick(now);
	}

	this.notes.set('entry', {
		inFlightCounts, admission, list, refusing,
	});
});

When('{int} of them refuse requests', function (this: SystemWorld, count: number) {
	const {list, refusing} = this.notes.get('entry') as {list: readonly Target[]; refusing: Set<string>};
	for (const {id} of list.slice(0, count)) {
		refusing.add(id);
	}
});

When('a peer has {int} more streams at each of {int} others', function (this: SystemWorld, streams: number, count: number) {
	const {inFlightCounts, list} = this.notes.get('entry') as {inFlightCounts: InFlightCounts; list: readonly Target[]};
	inFlightCounts.merge('peer', Object.fromEntries(list.slice(-count).map(({id}) => [id, streams])), 2000);
});

Given('a peer with {int} more streams at each target', function (this: SystemWorld, streams: number) {
	const {inFlightCounts, list} = this.notes.get('entry') as {inFlightCounts: InFlightCounts; list: readonly Target[]};
	inFlightCounts.merge('peer', Object.fromEntries(list.map(({id}) => [id, streams])), 2000);
});

Then('a request for {string} is {string}', function (this: SystemWorld, what: string, answer: string) {
	const {admission, list} = this.notes.get('entry') as {admission: StreamAdmission; list: readonly Target[]};
	const reason = admission.findTargetsWithRoom(list, routes[what], 8000, 2000).refusal;
	assert.equal(reason === undefined ? 'admitted' : 'refused', answer, reason);
	assert.ok(reason === undefined || reason.includes('84 streams under way'), reason);
});

Then('a stream is {string}, by the load of the others', function (this: SystemWorld, answer: string) {
	const {admission, list} = this.notes.get('entry') as {admission: StreamAdmission; list: readonly Target[]};
	const reason = admission.findTargetsWithRoom(list, route, 8000, 2000).refusal;
	assert.equal(reason === undefined ? 'admitted' : 'refused', answer, reason);
	assert.ok(reason === undefined || reason.includes('36 streams under way'), reason);
});

Given('an entry that has measured pauses of {int} ms in one group of {int} targets and of {int} ms in another', function (this: SystemWorld, evenMs: number, targets: number, unevenMs: number) {
	const inFlightCounts = new InFlightCounts();
	const directory = new TargetDirectory();
	const list = ['even', 'uneven'].flatMap((group, half) => Array.from({length: targets}, (_target, index) => Target.parse({
		id: `${group}-${index}`, service: 'desk', group, address: '10.0.0.1', port: 1000 + (half * targets) + index, availabilityZone: 'a', slots: 8, isLeaving: false,
	})));
	directory.replace(list, 0);
	for (const {id} of list) {
		inFlightCounts.noteStart(id, 0);
		inFlightCounts.noteStart(id, 0);
	}

	const admission = new StreamAdmission({
		inFlightCounts, listAvailable: service => directory.list(service), isHealthy: () => true, getService: name => ({name, maximumConnections: 100, pace}),
	});
	for (let now = 0; now < 2000; now += tickMs) {
		admission.noteGap(list[0], evenMs);
		admission.noteGap(list.at(-1)!, unevenMs);
		admission.tick(now);
	}

	this.notes.set('entry', {inFlightCounts, admission, list});
});

Then('a stream may go to targets of the {word} group only', function (this: SystemWorld, group: string) {
	const {admission, list} = this.notes.get('entry') as {admission: StreamAdmission; list: readonly Target[]};
	const {targets} = admission.findTargetsWithRoom(list, route, 8000, 2000);
	assert.deepEqual([...new Set(targets.map(target => target.group))], [group]);
	assert.equal(targets.length, list.length / 2);
});
