import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {generateTrace} from '../../src/maps/generate-trace.js';
import {makePolicy} from '../../src/maps/make-policy.js';
import {type MapWeights} from '../../src/maps/map-weights.js';
import {measureSkew} from '../../src/maps/measure-skew.js';
import {replayTrace} from '../../src/maps/replay-trace.js';
import {type ReplayInterval} from '../../src/maps/replay-interval.js';
import {summarizeReplay} from '../../src/maps/summarize-replay.js';
import {TraceKind} from '../../src/maps/trace-kind.js';
import {groupKeys} from '../../src/map-switch/group-keys.js';
import {GroupMap} from '../../src/map-switch/group-map.js';
import {runCommand} from '../support/run-command.js';
import {type SystemWorld} from '../support/system-world.js';

type Replays = Readonly<Record<'incremental' | 'repack' | 'static', ReplayInterval[]>>;

const stepPauseMs = 2;
const folder = mkdtempSync(path.join(tmpdir(), 'wardswitch-maps-'));
const firstMap = [[[0, 1], [2, 3], [4, 5], [6, 7]]];
const unevenLoads = [[800, 700, 10, 10, 10, 10, 10, 10]];

const getReplays = (world: SystemWorld): Replays => world.notes.get('replays') as Replays;

type Sizes = {readonly intervals: number; readonly ranks: number; readonly slots: number};

const replay = (world: SystemWorld, kind: string, {intervals, ranks, slots}: Sizes, weights: MapWeights): void => {
	const layers = 8;
	const shape = {
		layers, experts: 64, ranks, slots,
	};
	const trace = generateTrace({
		kind: TraceKind.parse(kind), seed: 5, intervals, layers, experts: 64, zipf: 0.8,
	});
	const run = (policy: 'incremental' | 'repack' | 'static') => replayTrace({
		trace, shape, policy: makePolicy(policy, shape, weights), clock: () => 0,
	});
	world.notes.set('replays', {incremental: run('incremental'), repack: run('repack'), static: run('static')} satisfies Replays);
};

const runStep = async (world: SystemWorld): Promise<void> => {
	world.system.group.advance();
	await delay(stepPauseMs);
};

Given('a running system whose engines report uneven expert loads', async function (this: SystemWorld) {
	await this.startSystem({entrySettings: {maps: {intervalMs: 200}}});
	this.system.group.initialMap = firstMap;
	this.system.group.expertLoads = unevenLoads;
});

When('the engines run until all ranks use epoch {int}', async function (this: SystemWorld, epoch: number) {
	await this.system.waitUntil(`all ranks use epoch ${epoch}`, async () => {
		await runStep(this);
		return this.system.group.ranks.every(rank => rank.epoch >= epoch);
	});
});

When('the engines run for {int} steps', async function (this: SystemWorld, steps: number) {
	for (let step = 0; step < steps; step++) {
		await runStep(this);
	}
});

Then('all engines use epoch {int}', function (this: SystemWorld, epoch: number) {
	assert.ok(this.system.group.ranks.every(rank => rank.epoch === epoch));
});

Then('the ranks\' loads are more even than before', function (this: SystemWorld) {
	const [{inUse}] = this.system.group.ranks;
	assert.ok(measureSkew(inUse!, unevenLoads) < measureSkew(firstMap, unevenLoads) * 0.7);
});

Then('no step of the engines used two maps', function (this: SystemWorld) {
	assert.deepEqual(this.system.group.findMixedSteps(), []);
});

Then('the platform records epoch {int}', async function (this: SystemWorld, epoch: number) {
	await this.system.waitUntil('the map is recorded', async () => {
		const stored = await this.system.keyValue.get(groupKeys.mapInUse('stone-drafts-a'));
		const {value} = stored._unsafeUnwrap() ?? {};
		return value !== undefined && GroupMap.parse(JSON.parse(value)).epoch >= epoch;
	});
});

When('a planner sees {int} intervals of kind {string} for {int} ranks of {int} slots', function (this: SystemWorld, intervals: number, kind: string, ranks: number, slots: number) {
	replay(this, kind, {intervals, ranks, slots}, {skew: 10, move: 1});
});

const moveWords = 'a planner that weighs moves high sees {int} intervals of kind {string} for {int} ranks of {int} slots';
When(moveWords, function (this: SystemWorld, intervals: number, kind: string, ranks: number, slots: number) {
	replay(this, kind, {intervals, ranks, slots}, {skew: 1, move: 10});
});

Then('it moved at most {int} copies in the last {int} intervals', function (this: SystemWorld, copies: number, intervals: number) {
	const moved = getReplays(this).incremental.slice(-intervals).reduce((sum, {moves}) => sum + moves, 0);
	assert.ok(moved <= copies, `${moved} copies`);
});

Then('its mean skew is at most {float} times that of a repack', function (this: SystemWorld, factor: number) {
	const {incremental, repack} = getReplays(this);
	const [planned, repacked] = [summarizeReplay(incremental).meanSkew, summarizeReplay(repack).meanSkew];
	assert.ok(planned <= repacked * factor, `${planned} against ${repacked}`);
});

Then('it moved at most a tenth of what the repack moved', function (this: SystemWorld) {
	const {incremental, repack} = getReplays(this);
	assert.ok(summarizeReplay(incremental).moves <= summarizeReplay(repack).moves / 10);
});

Then('it moved at most {int} in 100 of what the repack moved', function (this: SystemWorld, share: number) {
	const {incremental, repack} = getReplays(this);
	assert.ok(summarizeReplay(incremental).moves <= summarizeReplay(repack).moves * share / 100);
});

Then('it removed at least half of the excess skew of the static map', function (this: SystemWorld) {
	const {incremental, static: unmoved} = getReplays(this);
	assert.ok(summarizeReplay(incremental).meanSkew - 1 <= (summarizeReplay(unmoved).meanSkew - 1) / 2);
});

When(/^an operator replays a trace of (nothing|ragged layers|no JSON|negative loads|falling times)$/, async function (this: SystemWorld, kind: string) { // eslint-disable-line require-unicode-regexp
	const traces: Record<string, string> = {
		nothing: '',
		'ragged layers': '{"atMs":0,"loads":[[1,2,3],[1,2,3]]}\n{"atMs":1,"loads":[[1,2,3],[1,2]]}\n',
		'no JSON': '{"atMs":0,"loads":[[1,2,3]]}\nnonsense\n',
		'negative loads': '{"atMs":0,"loads":[[1,-2,3]]}\n',
		'falling times': '{"atMs":5,"loads":[[1,2,3]]}\n{"atMs":5,"loads":[[1,2,3]]}\n',
	};
	const file = path.join(folder, 'bad.jsonl');
	writeFileSync(file, traces[kind]);
	this.notes.set('outcome', await runCommand(['map', 'replay', file, '--ranks', '2', '--slots', '2', '--policy', 'static']));
});

Then('the replay is refused with {string}', function (this: SystemWorld, message: string) {
	const {code, stderr} = this.notes.get('outcome') as Awaited<ReturnType<typeof runCommand>>;
	assert.ok(stderr.includes(message), stderr);
	assert.equal(code, 1);
});

When('an operator writes the trace of kind {string} with seed {int} twice', async function (this: SystemWorld, kind: string, seed: number) {
	const words = ['map', 'trace', '--kind', kind, '--seed', String(seed), '--intervals', '5', '--layers', '2'];
	this.notes.set('traces', [await runCommand(words), await runCommand(words)]);
});

Then('both traces are the same', function (this: SystemWorld) {
	const [one, other] = this.notes.get('traces') as Array<{stdout: string}>;
	assert.equal(one.stdout.split('\n').length, 6);
	assert.equal(one.stdout, other.stdout);
});

When('an operator replays a trace under each policy and writes the maps', async function (this: SystemWorld) {
	const trace = path.join(folder, 'trace.jsonl');
	const {stdout} = await runCommand(['map', 'trace', '--kind', 'burst', '--intervals', '12', '--layers', '4']);
	writeFileSync(trace, stdout);
	const files = [];
	for (const policy of ['static', 'repack', 'incremental']) {
		const file = path.join(folder, `${policy}.jsonl`);
		const shape = ['--ranks', '64', '--slots', '2', '--skew-weight', '10'];
		const {code} = await runCommand(['map', 'replay', trace, ...shape, '--policy', policy, '--maps', file, '--json']);
		assert.equal(code, 0);
		files.push(file);
	}

	this.notes.set('files', files);
});

Then('every map holds every expert, and no rank holds one twice', function (this: SystemWorld) {
	for (const file of this.notes.get('files') as string[]) {
		const lines = readFileSync(file, 'utf8').trim().split('\n').map(line => JSON.parse(line) as {map: number[][][]});
		assert.equal(lines.length, 12);
		for (const ranks of lines.flatMap(({map}) => map)) {
			assert.equal(new Set(ranks.flat()).size, 64);
			assert.ok(ranks.every(experts => experts.length === 2 && new Set(experts).size === 2));
		}
	}
});
