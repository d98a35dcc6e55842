import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RankService} from '../support/rank-service.js';
import {type SystemWorld} from '../support/system-world.js';

const getService = (world: SystemWorld): RankService => world.notes.get('rank service') as RankService;

const bytesPerMegabit = 125_000;
/* Size of a model whose groups stalled with one planner for all of them. */
const shape = {
	layers: 16, experts: 96, slots: 5, maximumNew: 2,
};
const largeShape = {layers: 12, slots: 3, maximumNew: 2};
const passMs = 60;
const seed = 7;

Given(String.raw`a service of {int} groups of {int} ranks, whose VMs have links of {float} Mbit\/s`, function (this: SystemWorld, groups: number, ranks: number, megabits: number) {
	this.notes.set('rank service', new RankService({
		...shape, groups, ranks, bytesPerSecond: megabits * bytesPerMegabit, passMs, seed,
	}));
});

const oneGroup = String.raw`a service of one group of {int} ranks with {int} experts, whose VMs have links of {float} Mbit\/s, seed {int}`;

Given(oneGroup, function (this: SystemWorld, ranks: number, experts: number, megabits: number, groupSeed: number) {
	this.notes.set('rank service', new RankService({
		...largeShape, experts, groups: 1, ranks, bytesPerSecond: megabits * bytesPerMegabit, passMs, seed: groupSeed,
	}));
});

Given('whose processes take {float} ms to handle a message', function (this: SystemWorld, messageMs: number) {
	getService(this).setMessageTime(messageMs);
});

When('{int} seconds pass with a shift of its demand every {int} seconds', {timeout: 120_000}, async function (this: SystemWorld, seconds: number, each: number) {
	await getService(this).run(seconds * 1000, each * 1000);
});

Then('each of its groups has changed its map at least {int} times', function (this: SystemWorld, times: number) {
	const {groups, log} = getService(this);
	assert.ok(groups.every(({switches}) => switches >= times), `${groups.map(({switches}) => switches).join(', ')}\n${log.join('\n')}`);
});

Then('none of its passes began on two maps', function (this: SystemWorld) {
	assert.deepEqual(getService(this).groups.flatMap(({mixedSteps}) => mixedSteps), []);
});

Then('none of its passes was delayed for more than {int} milliseconds', function (this: SystemWorld, ms: number) {
	const {groups, log} = getService(this);
	const longest = groups.map(({longestHoldMs}) => longestHoldMs);
	assert.ok(Math.max(...longest) <= ms, `${longest.join(', ')} ms\n${log.join('\n')}`);
});

Then('each map was in force at most {int} milliseconds after it was proposed', function (this: SystemWorld, ms: number) {
	const {log} = getService(this);
	const times = log.flatMap(line => /in force after (?<ms>\d+) ms/v.exec(line)?.groups?.ms ?? []).map(Number);
	assert.ok(times.length > 0 && Math.max(...times) <= ms, `${times.join(', ')} ms\n${log.join('\n')}`);
});

Then('the store lists the engines of each group for the entries', async function (this: SystemWorld) {
	const service = getService(this);
	const listings = await service.readListings();
	assert.deepEqual(listings.map(({engines}) => engines.length), service.groups.map(({options}) => options.shape.ranks));
	assert.equal(new Set(listings.flatMap(({engines}) => engines)).size, listings.flatMap(({engines}) => engines).length);
});
