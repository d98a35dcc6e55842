import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {oddValues} from '../support/odd-values.js';
import {RankService} from '../support/rank-service.js';
import {type SystemWorld} from '../support/system-world.js';

const shape = {
	groups: 1, layers: 2, experts: 8, slots: 3, maximumNew: 2, bytesPerSecond: 10_000_000, passMs: 60, seed: 5,
};
/** Longest log line about an odd item, characters. */
const longestLine = 600;
const entriesPrefix = 'wardswitch/entries/';

const getService = (world: SystemWorld): RankService => world.notes.get('rank service') as RankService;

Given('a service of a group of {int} ranks', function (this: SystemWorld, ranks: number) {
	this.notes.set('rank service', new RankService({...shape, ranks}));
});

Given('its planner key holds {string}, without a lease', function (this: SystemWorld, name: string) {
	getService(this).putPlannerKey(oddValues[name]);
});

Given('its planner key is replaced by {string} after {int} seconds', function (this: SystemWorld, name: string, seconds: number) {
	const service = getService(this);
	service.onTime(seconds * 1000, () => {
		service.putPlannerKey(oddValues[name]);
	});
	this.notes.set('replaced at', seconds * 1000);
});

Given('another writer leaves odd items among the registrations of its entries', function (this: SystemWorld) {
	const keys = Object.values(oddValues).map((value, index) => {
		getService(this).put(`${entriesPrefix}odd-${index}-`, value);
		return `${entriesPrefix}odd-${index}-`;
	});
	this.notes.set('odd keys', keys);
});

Then('a planner has been elected after that', function (this: SystemWorld) {
	const {log} = getService(this);
	const elected = log.filter(line => line.includes('elected planner') && Number.parseInt(line, 10) > (this.notes.get('replaced at') as number));
	assert.equal(elected.length, 1, log.join('\n'));
});

Then('each rank has logged the odd planner key at most once', function (this: SystemWorld) {
	const lines = getService(this).log.filter(line => line.includes(' wardswitch/planners/model/group-0: '));
	const distinct = new Set(lines.map(line => line.replace(/^\d+ /v, '')));
	assert.ok(lines.length > 0 && distinct.size === lines.length, lines.join('\n').slice(0, longestLine));
	assert.deepEqual(lines.filter(line => line.length > longestLine), []);
});

Then('every hold was ordered through an entry', function (this: SystemWorld) {
	const {groups, ordersViaEntry} = getService(this);
	assert.ok(groups[0].holds > 0);
	assert.equal(ordersViaEntry, groups[0].holds);
});

Then('the planner has logged each odd registration of an entry once', function (this: SystemWorld) {
	const {log} = getService(this);
	const counts = (this.notes.get('odd keys') as string[]).map(key => [key, log.filter(line => line.includes(` ${key}: `)).length]);
	assert.deepEqual(counts.filter(([, count]) => count !== 1), []);
	assert.deepEqual(log.filter(line => line.includes('link for orders')), []);
});
