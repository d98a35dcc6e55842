import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {decideOrders} from '../../src/expert-balance/decide-orders.js';
import {HoldRecord} from '../../src/expert-balance/hold-record.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';
import {type SystemWorld} from '../support/system-world.js';

const version = 7;
const heldStep = 12;
const holder = 1;

Given('a planner has ordered ranks to switch at its hold, and has given up the map', function (this: SystemWorld) {
	const holds = new HoldRecord();
	holds.noteHold(heldStep);
	holds.noteArm(version, heldStep);
	this.notes.set('holds', holds);
});

When('no rank reports that it is armed', function (this: SystemWorld) {
	const reports: RankReport[] = [0, 1, 2, 3].map(rank => ({
		group: 'group', epoch: 1, rank, size: 4, isOpen: true, step: heldStep - 1, mapVersion: 0, preparedVersion: version, pace: 1, ...(rank === holder && {heldStep}),
	}));
	this.notes.set('decision', decideOrders({
		reports, proposal: undefined, nextStep: undefined, holder, holds: this.notes.get('holds') as HoldRecord,
	}));
});

Then('the planner replaces the prepared maps before it releases the group', function (this: SystemWorld) {
	const {orders, needsReplacement} = this.notes.get('decision') as ReturnType<typeof decideOrders>;
	assert.deepEqual(orders, []);
	assert.equal(needsReplacement, true);
});
