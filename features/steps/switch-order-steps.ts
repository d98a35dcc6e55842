import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {BalanceSettings} from '../../src/expert-balance/balance-settings.js';
import {decideOrders} from '../../src/expert-balance/decide-orders.js';
import {GroupController} from '../../src/expert-balance/group-controller.js';
import {HoldRecord} from '../../src/expert-balance/hold-record.js';
import {RankAgent} from '../../src/expert-balance/rank-agent.js';
import {type RankOrder} from '../../src/expert-balance/rank-order.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';
import {type LinkMessage} from '../../src/link/link-message.js';
import {SwitchSchedule} from '../support/switch-schedule.js';
import {type SystemWorld} from '../support/system-world.js';

type Decision = ReturnType<typeof decideOrders>;

const size = 3;
const holder = 1;
const leadSteps = 10;
const map = [[[0], [1], [2]]];
/** Passes that a group begins within the calm turns at least, unless it stands for good. */
const leastPasses = 200;

const getHolds = (world: SystemWorld): HoldRecord => world.notes.get('holds') as HoldRecord;

const makeReports = (step: number, version: number, held: number | undefined, hasPrepared?: boolean): RankReport[] => Array.from({length: size}, (_empty, rank) => ({
	group: 'group', epoch: 1, rank, size, isOpen: true, step, mapVersion: 0, preparedVersion: version, hasPrepared, pace: 1, ...(rank === holder && held !== undefined && {heldStep: held}),
}));

/* For example "hold 9", "arm 5 at 9", "release 9", "re-formed". */
const record = (holds: HoldRecord, event: string): void => {
	const [type, first, , second] = event.split(' ');
	switch (type) {
		case 'hold': {
			holds.noteHold(Number(first));
			break;
		}

		case 'arm': {
			holds.noteArm(Number(first), Number(second));
			break;
		}

		case 'release': {
			holds.noteRelease(Number(first));
			break;
		}

		default: {
			holds.startEpoch();
		}
	}
};

const describe = ({orders, needsReplacement}: Decision): string => {
	const [first] = orders;
	if (!first) {
		return needsReplacement ? 'a replacement' : 'nothing';
	}

	const {type} = first.order;
	const version = 'version' in first.order ? ` ${first.order.version}` : '';
	const step = 'step' in first.order ? ` ${first.order.step}` : '';
	return `${type}${version}${step}`;
};

Given('a planner that knows the group since step {int}, when its ranks had been ordered to prepare maps: {word}', function (this: SystemWorld, step: number, prepared: string) {
	const holds = new HoldRecord();
	holds.noteReports(makeReports(step, 0, undefined, prepared === 'unknown' ? undefined : prepared === 'yes'));
	this.notes.set('holds', holds);
});

Given('it has ordered {string}', function (this: SystemWorld, ordered: string) {
	for (const event of ordered.split(', ').filter(Boolean)) {
		record(getHolds(this), event);
	}
});

When('its map {int} is prepared at step {int}, and rank 1 holds {string}', function (this: SystemWorld, version: number, step: number, held: string) {
	const isReplacement = this.notes.get('isReplacement') === true;
	const unprepared = this.notes.get('unprepared');
	const reports = makeReports(step, version, held === 'nothing' ? undefined : Number(held))
		.map(report => report.rank === unprepared ? {...report, preparedVersion: undefined} : report);
	const holds = getHolds(this);
	this.notes.set('decision', decideOrders({
		reports, holds, holder, nextStep: holds.findNextStep(reports, leadSteps), proposal: {
			version, epoch: 1, map, isReplacement,
		},
	}));
});

/* Messages of a planner to the ranks of a group, from its first heartbeat on. */
const startPlanner = (world: SystemWorld, term: number): GroupController => {
	const orders: string[] = [];
	const controller = new GroupController({
		group: 'group',
		term,
		ownRank: () => 0,
		settings: BalanceSettings.parse({}),
		getShape: () => undefined,
		send(_rank, message) {
			orders.push(...message.type === 'rank-order' ? [message.order.type] : []);
			return true;
		},
		orderViaEntry: () => false,
		openEngine: () => assert.fail('no engine is called directly'),
		listEngines: async () => [],
		log: () => undefined,
	});
	world.notes.set('sent', orders);
	return controller;
};

Given('a planner of term {int} whose ranks are held, armed for a step', function (this: SystemWorld, term: number) {
	this.notes.set('planner', startPlanner(this, term));
});

When('{int} of its ranks report with term {int}, the others with its own', async function (this: SystemWorld, later: number, laterTerm: number) {
	const controller = this.notes.get('planner') as GroupController;
	for (const report of makeReports(99, 8, 100)) {
		controller.handleReport({
			type: 'rank-status',
			term: report.rank < later ? laterTerm : 5,
			engineAddress: String(report.rank),
			sign: {term: 5, sentAt: 0, agoMs: 0},
			report: {...report, armed: {version: 8, step: 100}},
		}, 10);
	}

	await controller.tick(10);
});

Then('it has sent orders: {word}', function (this: SystemWorld, expected: string) {
	assert.equal((this.notes.get('sent') as string[]).length > 0 ? 'yes' : 'no', expected);
});

type RankScene = {report: RankReport; readonly taken: string[]; readonly sent: LinkMessage[]; readonly agent: RankAgent};

const getRank = (world: SystemWorld): RankScene => world.notes.get('rank') as RankScene;

const startRank = (report: RankReport): RankScene => {
	const scene: RankScene = {
		report,
		taken: [],
		sent: [],
		agent: new RankAgent({
			engine: {
				readReport: async () => scene.report,
				readCounts: async () => ({step: 99, epoch: 1, chosen: []}),
				readPlacement: async () => ({epoch: 1, version: 0, experts: []}),
				async order({type}) {
					scene.taken.push(type);
					return 'taken';
				},
			},
			engineAddress: '0',
			clock: () => 0,
			send(message) {
				scene.sent.push(message);
				return true;
			},
			log: () => undefined,
		}),
	};
	return scene;
};

const receiveOrder = async ({agent}: RankScene, term: number, order: RankOrder): Promise<void> => {
	agent.receive({
		type: 'rank-order', group: 'group', term, number: 1, order,
	});
	await setImmediate();
};

When('a rank that knows term {int} receives an order of term {int}', async function (this: SystemWorld, known: number, term: number) {
	const scene = startRank(makeReports(99, 8, undefined)[0]);
	await scene.agent.tick(0);
	scene.agent.recordTerm(known);
	await receiveOrder(scene, term, {type: 'release', epoch: 1, step: 100});
	this.notes.set('sent', scene.taken);
});

Given('a rank\'s process that starts at step {int} of epoch {int}, with {} prepared', async function (this: SystemWorld, step: number, epoch: number, prepared: string) {
	const [report] = makeReports(step, 0, undefined);
	const scene = startRank({...report, epoch, preparedVersion: prepared === 'no map' ? undefined : Number(prepared.split(' ')[1])});
	await scene.agent.tick(0);
	this.notes.set('rank', scene);
});

When('it meets {string}', async function (this: SystemWorld, events: string) {
	const scene = getRank(this);
	for (const event of events.split(', ').filter(Boolean)) {
		if (event === 'prepare') {
			await receiveOrder(scene, 1, {
				type: 'prepare', epoch: scene.report.epoch, version: 8, map,
			});
		} else {
			scene.report = {...scene.report, epoch: Number(event.split(' ')[1]), step: 0};
		}
	}

	scene.agent.receive({type: 'rank-term', term: 1, sentAt: 0});
	await scene.agent.tick(0);
});

Then('it reports that an order to prepare was given: {word}', function (this: SystemWorld, expected: string) {
	const {report} = getRank(this).sent.findLast(message => message.type === 'rank-status')!;
	assert.equal(report.hasPrepared === undefined ? 'unknown' : (report.hasPrepared ? 'yes' : 'no'), expected);
});

Given('its map only replaces others', function (this: SystemWorld) {
	this.notes.set('isReplacement', true);
});

Given('rank {int} has not prepared its map', function (this: SystemWorld, rank: number) {
	this.notes.set('unprepared', rank);
});

Then('it orders {string}', function (this: SystemWorld, expected: string) {
	assert.equal(describe(this.notes.get('decision') as Decision), expected);
});

When('planners and their late orders act in any order, seeds {int} to {int}', {timeout: 120_000}, async function (this: SystemWorld, first: number, last: number) {
	const mixed: number[] = [];
	const stuck: number[] = [];
	for (let seed = first; seed <= last; seed++) {
		const schedule = new SwitchSchedule(seed);
		await schedule.runFaults();
		const passes = await schedule.runCalm();
		if (schedule.group.mixedSteps.length > 0) {
			mixed.push(seed);
		} else if (passes < leastPasses) {
			stuck.push(seed);
		}
	}

	this.notes.set('mixed', mixed);
	this.notes.set('stuck', stuck);
});

Then('no pass began on two maps, and no group stands at its end', function (this: SystemWorld) {
	assert.deepEqual({mixed: this.notes.get('mixed'), stuck: this.notes.get('stuck')}, {mixed: [], stuck: []});
});
