import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {Then, When} from '@cucumber/cucumber';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

type Draw = (low: number, high: number) => number;
type RawRequest = {readonly head: string[]; readonly body: string};

const hidden = 'POST /release/9 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-of-barre\r\nx-request: hidden\r\ncontent-length: 0\r\n\r\n';
const answerTimeoutMs = 300;
const mutations: ReadonlyArray<(request: RawRequest, draw: Draw) => RawRequest> = [
	// Two contradictory framings of the body.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding: chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked', 'content-length: 0'], body}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'content-length: 0'], body}),
	({head, body}) => ({head: [...head, `content-length: 0, ${body.length}`], body}),
	// Names and values that lenient parsers interpret differently.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding : chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'transfer-encoding: xchunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: ${body.length}`, 'x: y\n transfer-encoding: chunked'], body: `0\r\n\r\n${body}`}),
	({head, body}) => ({head: [...head, `content-length: +${body.length}`], body}),
	({head, body}) => ({head: [...head, `content-length: -${body.length}`], body}),
	// Malformed chunk sizes.
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `0x${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `${(body.length + 2).toString(16)};\n${body}\r\n0\r\n\r\n`}),
	// A random byte of the head replaced.
	({head, body}, draw) => {
		const line = draw(0, head.length - 1);
		const position = draw(0, head[line].length - 1);
		const mutatedLine = head[line].slice(0, position) + String.fromCodePoint(draw(0, 255)) + head[line].slice(position + 1);
		return {head: [...head.with(line, mutatedLine), `content-length: ${body.length}`], body};
	},
	// Correctly framed: the hidden request is only the body.
	({head, body}) => ({head: [...head, `content-length: ${body.length}`], body}),
	({head, body}) => ({head: [...head, 'transfer-encoding: chunked'], body: `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`}),
];

const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;

const sendMalformed = async (port: number, seed: number): Promise<void> => {
	const generator = xoroshiro128plus(seed);
	const draw: Draw = (low, high) => uniformInt(generator, low, high);
	const mutate = mutations[seed % mutations.length];
	const {head, body} = mutate({
		head: ['POST /release/1 HTTP/1.1', 'host: desk.example', 'authorization: Bearer key-of-barre', `x-request: outer-${seed}`, 'connection: close'],
		body: hidden,
	}, draw);
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(`${head.join('\r\n')}\r\n\r\n${body}`, 'latin1');
	// If the entry waits for more of the body, the connection is closed.
	const timer = setTimeout(() => {
		socket.destroy();
	}, answerTimeoutMs);
	await once(socket, 'close');
	clearTimeout(timer);
};

When('callers send requests with another one in the body, malformed by seeds {int} to {int}', async function (this: SystemWorld, first: number, last: number) {
	const {httpPort} = getSystem(this).entries.get('entry-1')!;
	await Promise.all(Array.from({length: last - first + 1}, async (_empty, index) => sendMalformed(httpPort, first + index)));
});

Then('the target has run no hidden request, and none with an incomplete body', function (this: SystemWorld) {
	const {runs} = getSystem(this).targets.get('target-1')!;
	// The correctly framed requests must have run, otherwise the check below would be empty.
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
