import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {type Cut} from '../../stand-ins/forward/write-cut-answer.js';
import {type RawCaller} from '../support/raw-caller.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

/** Bytes between two places at which a head is cut; the last ones are all tried. */
const stride = 4;
const lastBytes = 5;
/** Timeout of the step, which sends some 100 requests, milliseconds. */
const timeoutMs = 30_000;

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;

type Ended = {readonly id: string; readonly missing: number; readonly status: number};

// eslint-disable-next-line require-unicode-regexp -- Cucumber does not take the flag v
const cutEverywhere = /^the heads of answers "(.*)" are cut everywhere, and the target (ends|resets) its (new|used) connection$/;

When(cutEverywhere, {timeout: timeoutMs}, async function (this: SystemWorld, form: Cut['form'], ending: Cut['ending'], connection: string) {
	const system = getSystem(this);
	const target = system.targets.get('target-1')!;
	const ended: Ended[] = [];
	target.cutBytes = 1;
	for (let missing = 0; target.cutBytes > 0; missing += missing < lastBytes ? 1 : stride) {
		if (connection === 'used') {
			assert.equal((await system.call({path: '/release/1', method: 'POST', id: `before-${missing}`})).status, 200); // eslint-disable-line unicorn/no-await-expression-member
		}

		target.cut = {form, ending, missing};
		const id = `cut-${missing}`;
		const {status} = await system.call({path: '/release/1', method: 'POST', id});
		ended.push({id, missing, status});
	}

	this.notes.set('ended', ended);
});

When('an HTTP 1.0 caller asks for a stream', async function (this: SystemWorld) {
	const caller = getSystem(this).connect();
	this.notes.set('caller', caller);
	caller.write('GET /talk/stream/1 HTTP/1.0\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: old\r\n\r\n');
	await getSystem(this).until(() => caller.isClosed);
});

Then('it gets {int} events, and its connection {}', function (this: SystemWorld, events: number, ending: string) {
	const {text, isReset} = this.notes.get('caller') as RawCaller;
	assert.equal(text.split('\ndata: ').length - 1, events, text);
	assert.equal(isReset, ending === 'ends with a reset');
});

Then('each of these requests has ended with status {int}, and its target has run it once', function (this: SystemWorld, status: number) {
	const ended = this.notes.get('ended') as Ended[];
	const runs = getSystem(this).listRuns();
	assert.deepEqual(ended.filter(request => request.status !== status), []);
	assert.deepEqual(runs.filter(id => id.startsWith('cut-')), ended.map(({id}) => id));
});
