import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Then, When} from '@cucumber/cucumber';
import {makeDraw} from '../../platform/soak/make-draw.js';
import {EventSplitter} from '../../src/forward/event-splitter.js';
import {type SystemWorld} from '../support/system-world.js';

type Event = {id: number | undefined; text: string};

const streams = 500;
const mostPieces = 30;
const mostBytes = 12;
const pieces = ['\n', '\n\n', '\r\n', '\r', 'id: 1', 'id:2', 'id', ': i', 'data: a', 'i', 'd', ':', '3'];

/* Neighbouring events without ids may come as one. */
const join = (events: readonly Event[]): Event[] => {
	const joined: Event[] = [];
	for (const {id, text} of events) {
		const last = joined.at(-1);
		if (id === undefined && last?.id === undefined && last !== undefined) {
			last.text += text;
		} else {
			joined.push({id, text});
		}
	}

	return joined;
};

const splitWhole = (stream: string): Event[] => [...stream.matchAll(/[\s\S]*?\n\r?\n/gv)].map(([text]) => {
	const id = /(?:^|\n)id: ?(?<id>\d+)/v.exec(text)?.groups?.id;
	return {id: id === undefined ? undefined : Number(id), text};
});

When('streams of events are split that arrive in parts drawn from seed {int}', function (this: SystemWorld, seed: number) {
	const draw = makeDraw(seed);
	const results = Array.from({length: streams}, () => {
		const stream = Array.from({length: draw(mostPieces)}, () => pieces[draw(pieces.length)]).join('');
		const splitter = new EventSplitter();
		const events: Event[] = [];
		for (let start = 0, end = 0; start < stream.length; start = end) {
			end = start + 1 + draw(mostBytes);
			events.push(...splitter.push(Buffer.from(stream.slice(start, end))).map(({id, bytes}) => ({id, text: String(bytes)})));
		}

		return {stream, events: join(events)};
	});
	this.notes.set('splits', results);
});

Then('each stream gives the events and ids that it has as a whole', function (this: SystemWorld) {
	for (const {stream, events} of this.notes.get('splits') as Array<{stream: string; events: Event[]}>) {
		assert.deepEqual(events, join(splitWhole(stream)), JSON.stringify(stream));
	}
});
