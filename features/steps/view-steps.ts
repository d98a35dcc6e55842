import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {err, ok} from 'neverthrow';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {StoreView} from '../../src/view/store-view.js';
import {unorderedItems} from '../../src/view/unordered-items.js';
import {type SystemWorld} from '../support/system-world.js';

const waitMs = 2000;
/** What a call takes beyond its wait before it is given up on, milliseconds. */
const marginMs = 700;

type Course = {readonly waits: number[]; readonly pauses: number[]};

/* Runs a view through calls that end as told; time passes as they say, and stands still otherwise. */
const run = async (ends: readonly string[]): Promise<Course> => {
	const left = [...ends];
	const waits: number[] = [];
	const pauses: number[] = [];
	let now = 0;
	const view: StoreView = new StoreView({
		feed: {
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

const getCourse = (world: SystemWorld): Course => world.notes.get('course') as Course;

Given('a view of a store that answers', function (this: SystemWorld) {
	this.notes.set('course', undefined);
});

When('its calls go as {string}', async function (this: SystemWorld, ends: string) {
	this.notes.set('course', await run(ends.split(', ')));
});

Then('they wait for {string} ms', function (this: SystemWorld, waits: string) {
	assert.equal(getCourse(this).waits.join(', '), waits);
});

Then('no pause after a lost call is longer than {int} ms', function (this: SystemWorld, ms: number) {
	// The first pause follows the reading of all keys.
	const pauses = getCourse(this).pauses.slice(1);
	assert.equal(pauses.length, 6);
	assert.ok(Math.max(...pauses) <= ms, String(pauses));
});

Then('the pauses grow from {int} ms to {int} ms', function (this: SystemWorld, first: number, longest: number) {
	const pauses = getCourse(this).pauses.slice(1);
	assert.equal(pauses.at(0), first);
	assert.equal(pauses.at(-1), longest);
	assert.ok(pauses.every((pause, index) => index === 0 || pause >= pauses[index - 1]), String(pauses));
});

type Scene = {readonly view: StoreView; answer: (era: number) => void; readonly polled: Promise<unknown>};

const lowRevision = 3;
const item = (key: string, revision: number) => ({
	key, value: key, revision, era: 2,
});

/* A view of era 1 whose next call, a list or a wait, is answered when the scenario says so. */
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

const takePeerView = async (world: SystemWorld, isList: boolean, era: number): Promise<void> => {
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

Given('a view that knows a store of era 1', function (this: SystemWorld) {
	this.notes.set('view', undefined);
});

When('a list of era 1 is on its way, a peer\'s view of era 2 comes in, and then the answer', async function (this: SystemWorld) {
	await takePeerView(this, true, 1);
});

When('a wait\'s end of era 1 is on its way, a peer\'s view of era 2 comes in, and then the answer', async function (this: SystemWorld) {
	await takePeerView(this, false, 1);
});

When('a wait of era 1 is on its way, a peer\'s view of era 2 comes in, and the wait ends with changes of era 2', async function (this: SystemWorld) {
	await takePeerView(this, false, 2);
});

Then('the view is of era 2, as the peer\'s, and has dropped an answer', function (this: SystemWorld) {
	const view = this.notes.get('view') as StoreView;
	assert.deepEqual(view.asOf, {era: 2, number: lowRevision});
	assert.equal(view.get('new')?.value, 'new');
	assert.equal(view.get('former'), undefined);
	assert.ok(view.droppedAnswers > 0);
});

Then('the view is of era 2, as the peer\'s', function (this: SystemWorld) {
	const view = this.notes.get('view') as StoreView;
	assert.deepEqual(view.asOf, {era: 2, number: lowRevision});
	assert.equal(view.get('former'), undefined);
});
