import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ok} from 'neverthrow';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LoadEstimator} from '../../src/expert-balance/load-estimator.js';
import {planGroupMap} from '../../src/expert-balance/plan-group-map.js';
import {PlannerElection} from '../../src/expert-balance/planner-election.js';
import {type StoredValue} from '../../src/key-value/stored-value.js';
import {LayerSearch} from '../../src/maps/layer-search.js';
import {type GroupHarness} from '../support/group-harness.js';
import {type SystemWorld} from '../support/system-world.js';

type Shape = {readonly ranks: number; readonly experts: number; readonly slots: number};

const placeInTurn = ({ranks, experts}: Shape): number[][] =>
	Array.from({length: ranks}, (_rank, rank) => Array.from({length: experts / ranks}, (_slot, slot) => rank + (slot * ranks)));

/* Uneven demand as seen with some models: the hottest experts have most of it. */
const drawLoads = (seed: number, experts: number): Float64Array => {
	const generator = xoroshiro128plus(seed);
	return Float64Array.from({length: experts}, () => 1000 * (uniformFloat64(generator) ** 8));
};

Given('{int} ranks with {int} of {int} experts each and {int} slots', function (this: SystemWorld, ranks: number, _held: number, experts: number, slots: number) {
	this.notes.set('shape', {ranks, experts, slots});
});

When('the placements of one layer are improved, for each of {int} seeds of uneven demand', function (this: SystemWorld, seeds: number) {
	const shape = this.notes.get('shape') as Shape;
	const limit = 1000;
	const lengths: number[] = [];
	const rises: number[] = [];
	const {experts: empty} = shape;
	for (let seed = 1; seed <= seeds; seed++) {
		const map = placeInTurn(shape).map(experts => [...experts, ...Array.from({length: shape.slots - experts.length}, () => empty)]);
		const search = new LayerSearch(map, Float64Array.from([...drawLoads(seed, shape.experts), 0]), new Float64Array(shape.experts + 1));
		let changes = 0;
		const peakBefore = search.peak;
		for (let change = search.findBest(); change && changes < limit; change = search.findBest()) {
			search.apply(change);
			changes++;
		}

		if (search.peak > peakBefore) {
			rises.push(seed);
		}

		lengths.push(changes);
	}

	this.notes.set('lengths', lengths);
	this.notes.set('rises', rises);
});

Then('every search ends within {int} changes', function (this: SystemWorld, limit: number) {
	const lengths = this.notes.get('lengths') as number[];
	assert.ok(Math.max(...lengths) <= limit, String(lengths));
});

Then('no search increases the load of the hottest rank', function (this: SystemWorld) {
	assert.deepEqual(this.notes.get('rises'), []);
});

When('one expert of each of {int} layers is chosen {int} times as often as the others, and a copy takes {int} ms', function (this: SystemWorld, layers: number, times: number, copyMs: number) {
	const shape = this.notes.get('shape') as Shape;
	const {ranks} = shape;
	const loads = Array.from({length: layers}, (_layer, layer) => Array.from({length: shape.experts}, (_expert, expert) => expert === 7 * (layer + 1) ? times : 1));
	this.notes.set('plan', planGroupMap({
		map: loads.map(() => placeInTurn(shape)),
		loads,
		slots: shape.slots,
		maximumNew: 4,
		leastRelief: 0.01,
		paces: Array.from({length: ranks}, () => 1),
		copyMs,
		switchMs: 450,
		horizonMs: 2000,
	}));
});

Then('the plan gives no rank more than {int} copies/copy', function (this: SystemWorld, most: number) {
	const plan = this.notes.get('plan') as ReturnType<typeof planGroupMap>;
	assert.ok(plan.maximumCopies <= most && plan.copies > 0, JSON.stringify({...plan, map: undefined}));
});

Then('the plan lowers the skew', function (this: SystemWorld) {
	const {skewBefore, skewAfter} = this.notes.get('plan') as ReturnType<typeof planGroupMap>;
	assert.ok(skewAfter < skewBefore - 0.15, `${skewBefore} to ${skewAfter}`);
});

When('expert {int} is chosen for {int} seconds, and then expert {int} for {int} ms', function (this: SystemWorld, first: number, seconds: number, second: number, ms: number) {
	const intervalMs = this.notes.get('interval') as number;
	const ranks = 8;
	const meter = new LoadEstimator();
	const shiftAt = seconds * 1000;
	const chosen = Array.from({length: ranks}, () => [0, 0, 0, 0]);
	for (let now = 0; now <= shiftAt + ms; now += intervalMs / ranks) {
		const rank = Math.round(now / (intervalMs / ranks)) % ranks;
		// Counts of the last interval include the shift in proportion to the time since it.
		const after = Math.min(1, Math.max(0, (now - shiftAt) / intervalMs));
		chosen[rank][second] += 100 * after;
		chosen[rank][first] += 100 * (1 - after);
		meter.record(rank, {step: now, epoch: 1, chosen: [[...chosen[rank]]]}, now);
	}

	const [loads] = meter.getLoads(shiftAt + ms);
	this.notes.set('share', loads[first] / (loads[first] + loads[second]));
});

Then('expert {int} has less than a fifth of the load', function (this: SystemWorld, _expert: number) {
	const share = this.notes.get('share') as number;
	assert.ok(share < 0.2, String(share));
});

When('the group is re-formed', function (this: SystemWorld) {
	const harness = this.notes.get('harness') as GroupHarness;
	this.notes.set('lines', harness.log.length);
	harness.group.startNextEpoch();
});

When('the group runs for {int} ms', async function (this: SystemWorld, ms: number) {
	await (this.notes.get('harness') as GroupHarness).run(ms);
});

Then('a map for the new epoch has been proposed', function (this: SystemWorld) {
	const {log, group} = this.notes.get('harness') as GroupHarness;
	const lines = log.slice(this.notes.get('lines') as number);
	assert.ok(lines.some(line => line.includes(`epoch ${group.epoch}: map`)), lines.join('\n'));
});

Given('a planner key that {word} holds', function (this: SystemWorld, address: string) {
	this.notes.set('planner key', {key: 'planner', value: address, revision: 5});
});

When('a process at {word} takes part in the election', async function (this: SystemWorld, address: string) {
	const plannerKey = this.notes.get('planner key') as StoredValue;
	const election = new PlannerElection({
		registry: {
			get: async () => ok(plannerKey),
			keepLease: async () => ok(true),
			grantLeaseFor: async () => ok('lease'),
			commit: async ({conditions}) => ok(conditions[0].revision === plannerKey.revision ? {era: 0, number: plannerKey.revision + 1} : undefined),
		},
		key: plannerKey.key,
		address,
		random: () => 0,
		log: String,
	});
	const item = {...plannerKey, era: 0};
	await election.tick(0, {
		era: 0, holder: item, planner: item.value, stored: item,
	}, false);
	this.notes.set('term', election.term);
});

Then('it is the planner: {word}', function (this: SystemWorld, answer: string) {
	assert.equal(this.notes.get('term') === undefined ? 'no' : 'yes', answer);
});
