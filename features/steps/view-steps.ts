import assert from 'node:assert/strict';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {err, ok} from 'neverthrow';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {StoreView} from '../../src/view/store-view.js';
import {unorderedItems} from '../../src/view/unordered-items.js';
import {type SystemWorld} from '../support/system-world.js';

const waitMs = 2000;
/** Time beyond its wait after which a call times out, milliseconds. */
const marginMs = 700;

type Run = {readonly waits: number[]; readonly pauses: number[]};

/* Runs a view whose calls end as given; the clock advances only by these calls and by pauses. */
const runView = async (ends: readonly string[]): Promise<Run> => {
	const left = [...ends];
	const waits: number[] = [];
	const pauses: number[] = [];
	let now = 0;
	const view: StoreView = new StoreView({
		feed: {
			reconnect: () => undefined,
			list: async () => ok({era: 0, asOf: 1, items: []}),
			async poll(_prefix, after, wait) {
				waits.push(wait);
				const end = left.shift();
				if (left.length === 0) {
					view.close();
				}

				now += end === 'refused' ? 0 : wait;
				now += end === 'lost' ? marginMs : 0;
				return end === 'answered'
					? ok({
						kind: 'changes', era: 0, asOf: after, changes: [],
					})
					: err(new PlatformError(`the call was ${end}`, 'unknown'));
			},
		},
		prefix: '',
		comparator: unorderedItems,
		waitMs,
		maximumBackoffMs: 1000,
		clock: () => now,
		random: () => 0.5,
		async delay(ms) {
			pauses.push(ms);
			now += ms;
		},
		log: String,
		onChange: String,
	});
	await view.run();
	return {waits, pauses};
};

const getRun = (world: SystemWorld): Run => world.notes.get('run') as Run;

Given('a view of a store that answers', function (this: SystemWorld) {
	this.notes.set('run', undefined);
});

When('its calls end as {string}', async function (this: SystemWorld, ends: string) {
	this.notes.set('run', await runView(ends.split(', ')));
});

Then('they wait for {string} ms', function (this: SystemWorld, waits: string) {
	assert.equal(getRun(this).waits.join(', '), waits);
});

Then('no pause after a lost call exceeds {int} ms', function (this: SystemWorld, ms: number) {
	// The first pause follows the initial read of all keys.
	const pauses = getRun(this).pauses.slice(1);
	assert.equal(pauses.length, 6);
	assert.ok(Math.max(...pauses) <= ms, String(pauses));
});

Then('the pauses grow from {int} ms to {int} ms', function (this: SystemWorld, first: number, longest: number) {
	const pauses = getRun(this).pauses.slice(1);
	assert.equal(pauses.at(0), first);
	assert.equal(pauses.at(-1), longest);
	assert.ok(pauses.every((pause, index) => index === 0 || pause >= pauses[index - 1]), String(pauses));
});

type Scene = {readonly view: StoreView; answer: (era: number) => void; readonly polled: Promise<unknown>};

const lowRevision = 3;
const item = (key: string, revision: number) => ({
	key, value: key, revision, era: 2,
});

/* Opens a view in era 1 whose next call, a list or a wait, is answered by the scenario. */
const openView = async (isList: boolean): Promise<Scene> => {
	let turn = 0;
	let settle: (era: number) => void = String;
	const late = new Promise<number>(resolve => {
		settle = resolve;
	});
	let markPolled: (value: unknown) => void = String;
	const polled = new Promise(resolve => {
		markPolled = resolve;
	});
	const view = new StoreView({
		feed: {
			reconnect: () => undefined,
			async list() {
				turn++;
				if (turn === 1) {
					return ok({era: 1, asOf: 50, items: [{key: 'old', value: 'old', revision: 50}]});
				}

				markPolled(turn);
				const era = await late;
				return ok({era, asOf: 60, items: [{key: 'former', value: 'former', revision: 60}]});
			},
			async poll() {
				if (isList && turn === 1) {
					return ok({kind: 'forgotten', era: 1});
				}

				markPolled(turn);
				const era = await late;
				return ok({
					kind: 'changes', era, asOf: 60, changes: [{key: 'former', value: 'former', revision: 60}],
				});
			},
		},
		prefix: '',
		comparator: unorderedItems,
		waitMs,
		maximumBackoffMs: 1000,
		clock: () => 0,
		random: () => 0,
		async delay() {
			if (view.asOf.era === 2) {
				view.close();
			}
		},
		log: String,
		onChange: String,
	});
	void view.run();
	return {view, answer: settle, polled};
};

const mergePeerView = async (world: SystemWorld, isList: boolean, era: number): Promise<void> => {
	const scene = await openView(isList);
	await scene.polled;
	scene.view.mergeSnapshot({asOf: {era: 2, number: lowRevision}, ageMs: 0, items: [item('new', lowRevision)]});
	scene.answer(era);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	scene.view.close();
	world.notes.set('view', scene.view);
};

Given('a view of a store in era 1', function (this: SystemWorld) {
	this.notes.set('view', undefined);
});

When('a list answer of era 1 is pending, a peer\'s view of era 2 arrives, and then the answer', async function (this: SystemWorld) {
	await mergePeerView(this, true, 1);
});

When('a wait answer of era 1 is pending, a peer\'s view of era 2 arrives, and then the answer', async function (this: SystemWorld) {
	await mergePeerView(this, false, 1);
});

When('a wait of era 1 is pending, a peer\'s view of era 2 arrives, and the wait ends with changes of era 2', async function (this: SystemWorld) {
	await mergePeerView(this, false, 2);
});

Then('the view equals the peer\'s, in era 2, and has ignored an answer', function (this: SystemWorld) {
	const view = this.notes.get('view') as StoreView;
	assert.deepEqual(view.asOf, {era: 2, number: lowRevision});
	assert.equal(view.get('new')?.value, 'new');
	assert.equal(view.get('former'), undefined);
	assert.ok(view.droppedAnswers > 0);
});

Then('the view equals the peer\'s, in era 2', function (this: SystemWorld) {
	const view = this.notes.get('view') as StoreView;
	assert.deepEqual(view.asOf, {era: 2, number: lowRevision});
	assert.equal(view.get('former'), undefined);
});

const readTimes = (text: string): number[] => text.split(', ').filter(Boolean).map(Number);

Given('a view that waits for changes', async function (this: SystemWorld) {
	const waits: number[] = [];
	const state = {now: 0, reconnects: [] as number[], waits};
	const view: StoreView = new StoreView({
		feed: {
			reconnect() {
				state.reconnects.push(state.now);
			},
			list: async () => ok({era: 0, asOf: 1, items: []}),
			async poll(_prefix, _after, wait) {
				waits.push(wait);
				return new Promise(() => {
					// Never answered.
				});
			},
		},
		prefix: '',
		comparator: unorderedItems,
		waitMs: 20_000,
		maximumBackoffMs: 1000,
		clock: () => state.now,
		random: () => 0.5,
		delay: async () => undefined,
		log: String,
		onChange: String,
	});
	void view.run();
	await yieldTurn();
	this.onClose(() => {
		view.close();
	});
	this.notes.set('view', view);
	this.notes.set('state', state);
});

When('it is checked at {string} ms, with silence noted at {string} ms', async function (this: SystemWorld, checks: string, silences: string) {
	const view = this.notes.get('view') as StoreView;
	const state = this.notes.get('state') as {now: number};
	const silentAt = readTimes(silences);
	const times = [...readTimes(checks), ...silentAt].toSorted((one, other) => one - other);
	for (const at of times) {
		state.now = at;
		if (silentAt.includes(at)) {
			view.noteSilence('a link is silent');
		} else {
			view.checkCall(at);
		}

		await yieldTurn();
	}
});

Then('it has opened new connections at {string} ms, and then waited 300 ms at most', function (this: SystemWorld, expected: string) {
	const {reconnects, waits} = this.notes.get('state') as {reconnects: number[]; waits: number[]};
	assert.deepEqual(reconnects, readTimes(expected));
	assert.deepEqual(waits.slice(1), reconnects.map(() => 300));
});
