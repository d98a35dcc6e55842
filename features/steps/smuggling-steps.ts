import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Draw = (low: number, high: number) => number;
type Spoilt = {readonly head: string[]; readonly body: string};

const hidden = 'POST /release/9 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: hidden\r\ncontent-length: 0\r\n\r\n';
const answerMs = 300;
const spoilers: ReadonlyArray<(request: Spoilt, draw: Draw) => Spoilt> = [
	// Two ways to frame the body.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding: chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked', 'content-length: 0'], body}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'content-length: 0'], body}),
	({head, body}) => ({head: [...head, `content-length: 0, ${body.length}`], body}),
	// Names and values that lenient parsers read otherwise.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding : chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding: xchunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'x: y\n transfer-encoding: chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: +${body.length}`], body}),
	({head, body}) => ({head: [...head, `content-length: -${body.length}`], body}),
	// Chunks whose size says something else.
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `0x${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `${(body.length + 2).toString(16)};\n${body}\r\n0\r\n\r\n`}),
	// Any byte of the head changed.
	({head, body}, draw) => {
		const line = draw(0, head.length - 1);
		const position = draw(0, head[line].length - 1);
		const spoiltLine = head[line].slice(0, position) + String.fromCodePoint(draw(0, 255)) + head[line].slice(position + 1);
		return {head: [...head.with(line, spoiltLine), `content-length: ${body.length}`], body};
	},
	// Rightly framed: the hidden one is the body and nothing more.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`], body}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`}),
];

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;

const sendSpoilt = async (port: number, seed: number): Promise<void> => {
	const generator = xoroshiro128plus(seed);
	const draw: Draw = (low, high) => uniformInt(generator, low, high);
	const spoil = spoilers[seed % spoilers.length];
	const {head, body} = spoil({
		head: ['POST /release/1 HTTP/1.1', 'host: desk.example', 'authorization: Bearer key-of-barre', `x-request: outer-${seed}`, 'connection: close'],
		body: hidden,
	}, draw);
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(`${head.join('\r\n')}\r\n\r\n${body}`, 'latin1');
	// A body that the entry still waits for ends with its connection.
	const timer = setTimeout(() => {
		socket.destroy();
	}, answerMs);
	await once(socket, 'close');
	clearTimeout(timer);
};

When('callers send requests with another one in the body, spoilt by seeds {int} to {int}', async function (this: SystemWorld, first: number, last: number) {
	const {httpPort} = getSystem(this).entries.get('entry-1')!;
	await Promise.all(Array.from({length: last - first + 1}, async (_empty, index) => sendSpoilt(httpPort, first + index)));
});

Then('the target has run no hidden request, and no body but a whole one', function (this: SystemWorld) {
	const {runs} = getSystem(this).targets.get('target-1')!;
	// Those that are rightly framed have run, or the scenario would prove nothing.
	assert.ok(runs.length >= 10, String(runs.length));
	for (const {id, body} of runs) {
		assert.notEqual(id, 'hidden');
		assert.equal(body, hidden);
	}
});

Then('the entry still serves a caller', async function (this: SystemWorld) {
	const answer = await getSystem(this).call({path: '/release/1', method: 'POST', body: 'a block'});
	assert.equal(answer.status, 200, answer.body);
});
