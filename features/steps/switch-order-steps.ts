import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {err} from 'neverthrow';
import {BalanceSettings} from '../../src/expert-balance/balance-settings.js';
import {decideOrders} from '../../src/expert-balance/decide-orders.js';
import {EpochClaim} from '../../src/expert-balance/epoch-claim.js';
import {GroupController} from '../../src/expert-balance/group-controller.js';
import {HoldRecord} from '../../src/expert-balance/hold-record.js';
import {RankAgent} from '../../src/expert-balance/rank-agent.js';
import {type RankReport} from '../../src/expert-balance/rank-report.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';
import {SwitchSchedule} from '../support/switch-schedule.js';
import {type SystemWorld} from '../support/system-world.js';

type Decision = ReturnType<typeof decideOrders>;

const size = 3;
const holder = 1;
const leadSteps = 10;
const claimKey = 'claims';
const map = [[[0], [1], [2]]];
/** Passes that a group begins within the calm turns at least, unless it stands for good. */
const leastPasses = 200;

const getHolds = (world: SystemWorld): HoldRecord => world.notes.get('holds') as HoldRecord;

const makeReports = (step: number, version: number, held: number | undefined): RankReport[] => Array.from({length: size}, (_empty, rank) => ({
	group: 'group', epoch: 1, rank, size, isOpen: true, step, mapVersion: 0, preparedVersion: version, pace: 1, ...(rank === holder && held !== undefined && {heldStep: held}),
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

Given('a planner that knows the group since step {int}, and is the first that may hold it: {word}', function (this: SystemWorld, step: number, first: string) {
	const holds = new HoldRecord();
	holds.noteReports(makeReports(step, 0, undefined));
	this.notes.set('isFirst', first === 'yes');
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
		reports, holds, holder, nextStep: holds.findNextStep(reports, leadSteps, this.notes.get('isFirst') === true), proposal: {
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
		claim: {has: () => true, isFirst: () => true},
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

When('a rank that knows term {int} receives an order of term {int}', async function (this: SystemWorld, known: number, term: number) {
	const taken: string[] = [];
	const [report] = makeReports(99, 8, undefined);
	const agent = new RankAgent({
		engine: {
			readReport: async () => report,
			readCounts: async () => ({step: 99, epoch: 1, chosen: []}),
			readPlacement: async () => ({epoch: 1, version: 0, experts: []}),
			async order({type}) {
				taken.push(type);
				return 'taken';
			},
		},
		engineAddress: '0', clock: () => 0, send: () => true, log: () => undefined,
	});
	await agent.tick(0);
	agent.recordTerm(known);
	agent.receive({
		type: 'rank-order', group: 'group', term, number: 1, order: {type: 'release', epoch: 1, step: 100},
	});
	await setImmediate();
	this.notes.set('sent', taken);
});

type ClaimScene = {readonly store: MemoryStore; readonly claim: EpochClaim; readonly lose: () => void; readonly holdBack: () => () => Promise<unknown>};

const getClaim = (world: SystemWorld): ClaimScene => world.notes.get('claim') as ClaimScene;

/* Elects a planner, whose claims may lose their next answer, or the calls of which may fail. */
const elect = (store: MemoryStore, era = 0): ClaimScene => {
	const client = store.createClient('planner');
	let isLost = false;
	let waiting: Array<() => Promise<unknown>> | undefined;
	store.put('planner', 'address');
	return {
		store,
		lose() {
			isLost = true;
		},
		holdBack() {
			const held: Array<() => Promise<unknown>> = [];
			waiting = held;
			return async () => held[0]();
		},
		claim: new EpochClaim({
			registry: {
				...client,
				async commit(transaction) {
					if (waiting?.length === 0) {
						waiting.push(async () => client.commit(transaction));
						return err(new PlatformError('no answer', 'unknown'));
					}

					const written = await client.commit(transaction);
					const isAnswered = !isLost;
					isLost = false;
					return isAnswered ? written : err(new PlatformError('no answer', 'unknown'));
				},
			},
			key: claimKey,
			planner: {key: 'planner', revision: {era, number: store.lastRevision}},
			log: () => undefined,
		}),
	};
};

Given('a planner in whose store planners have claimed {string}, era {int}', function (this: SystemWorld, claimed: string, era: number) {
	const store = new MemoryStore();
	if (claimed !== 'nothing') {
		store.put(claimKey, claimed.startsWith('epochs') ? {epochs: claimed.slice('epochs'.length).split(',').map(Number)} : claimed);
	}

	this.notes.set('claim', elect(store, era));
});

When('it claims epoch {int}, as {}', async function (this: SystemWorld, epoch: number, event: string) {
	const {store, claim, lose} = getClaim(this);
	switch (event) {
		case 'the answer is lost': {
			lose();
			break;
		}

		case 'a later term has begun': {
			store.put('planner', 'another');
			break;
		}

		case 'the store is away': {
			store.setFault('planner', 'down');
			break;
		}

		default:
	}

	await claim.tick(epoch, 0);
	await claim.tick(epoch, 1000);
});

When('its claim of epoch {int} waits, it claims epoch {int}, and the claim of epoch {int} is carried out', async function (this: SystemWorld, first: number, second: number, _late: number) {
	const {claim, holdBack} = getClaim(this);
	const carryOut = holdBack();
	await claim.tick(first, 0);
	await claim.tick(second, 1000);
	assert.ok(claim.has(second));
	await carryOut();
});

Then('it may hold the group in epoch {int}: {word}, and is the first: {word}', function (this: SystemWorld, epoch: number, may: string, first: string) {
	const {claim} = getClaim(this);
	assert.deepEqual([claim.has(epoch), claim.isFirst(epoch)], [may === 'yes', first === 'yes']);
});

Then('the next planner is the first in epoch {int}: {word}', async function (this: SystemWorld, epoch: number, first: string) {
	const {store} = getClaim(this);
	store.setFault('planner', 'none');
	const {claim} = elect(store);
	await claim.tick(epoch, 0);
	assert.equal(claim.isFirst(epoch), first === 'yes');
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
