import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {err, ok} from 'neverthrow';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {StoreView} from '../../src/view/store-view.js';
import {unguarded} from '../../src/view/unguarded.js';
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
		guard: unguarded,
		waitMs,
		longestPauseMs: 1000,
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
