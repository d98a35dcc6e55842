import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {type SystemWorld} from '../support/system-world.js';

type Running = {readonly child: ChildProcess; readonly stream: IncomingMessage; text: string; body: string};

const longScenarioMs = 20_000;
const address = '127.0.0.1';
const getRunning = (world: SystemWorld): Running => world.notes.get('running') as Running;

/* Resolves as soon as the text that a stream sends, as collected by `read`, contains some words. */
const untilContains = async (stream: NodeJS.ReadableStream, read: () => string, words: string): Promise<void> => {
	const signal = AbortSignal.timeout(longScenarioMs / 2);
	while (!read().includes(words)) {
		await Promise.race([once(stream, 'data', {signal}), once(signal, 'abort')]);
		assert.ok(!signal.aborted, `no "${words}" in: ${read()}`);
	}
};

const get = async (port: number, path: string): Promise<IncomingMessage> => {
	const request = httpRequest({
		host: address, port, agent: false, path, headers: {host: 'desk.example', 'x-request': 'the-request'},
	});
	request.end();
	const [answer] = await once(request, 'response') as [IncomingMessage];
	return answer;
};

/* Asked for readiness, an entry logs nothing: requests that it refuses until then would fill its log, which drops lines. */
const untilReady = async (port: number): Promise<void> => {
	for (;;) {
		const answer = await get(port, '/readyz');
		answer.resume();
		await once(answer, 'close');
		if (answer.statusCode === 200) {
			return;
		}
	}
};

Given('an entry process at which a caller reads a stream', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	const child = spawn(process.execPath, ['dist/stand-ins/forward/failing-entry.js'], {stdio: ['pipe', 'pipe', 'pipe']});
	this.onClose(() => {
		child.kill('SIGKILL');
	});
	const running = {child, text: '', body: ''};
	for (const output of [child.stdout, child.stderr]) {
		output.on('data', chunk => {
			running.text += String(chunk);
		});
	}

	await untilContains(child.stdout, () => running.text, 'listening on');
	const {port, readyPort} = /listening on (?<port>\d+), ready on (?<readyPort>\d+)/v.exec(running.text)!.groups!;
	await untilReady(Number(readyPort));
	const stream = await get(Number(port), '/stream/1');
	const complete: Running = Object.assign(running, {stream});
	stream.on('data', chunk => {
		complete.body += String(chunk);
	});
	stream.on('error', () => undefined);
	this.notes.set('running', complete);
	await untilContains(stream, () => complete.body, 'first');
});

/* Begins a stop, lets a signal follow once it is under way, and then lets the target end the stream. */
const stopAndRelease = async (world: SystemWorld, begin: (child: ChildProcess) => void, signal?: NodeJS.Signals): Promise<void> => {
	const running = getRunning(world);
	const {child, stream} = running;
	begin(child);
	await Promise.race([
		untilContains(child.stdout!, () => running.text, 'stopping, 1 open requests'),
		once(child, 'exit'),
	]);
	if (signal) {
		child.kill(signal);
		await Promise.race([untilContains(child.stdout!, () => running.text, `${signal}: the process is stopping`), once(child, 'exit')]);
	}

	const closed = stream.destroyed ? Promise.resolve() : once(stream, 'close');
	child.stdin!.on('error', () => undefined);
	child.stdin!.write('release\n');
	await closed;
};

const fail = (manner: string) => (child: ChildProcess): void => {
	child.stdin!.write(manner === 'thrown' ? 'throw\n' : 'reject\n');
};

const checkEnd = async (world: SystemWorld, code: number): Promise<void> => {
	const {child, stream, body, text} = getRunning(world);
	assert.ok(stream.complete, text);
	assert.match(body, /last\n\n$/v);
	if (child.exitCode === null) {
		await once(child, 'exit');
	}

	assert.equal(child.exitCode, code);
};

When('an error is {word} that nothing handles', {timeout: longScenarioMs}, async function (this: SystemWorld, manner: string) {
	await stopAndRelease(this, fail(manner));
});

When('an error is {word} that nothing handles, and SIGTERM follows', {timeout: longScenarioMs}, async function (this: SystemWorld, manner: string) {
	await stopAndRelease(this, fail(manner), 'SIGTERM');
});

When('the process is sent SIGTERM, and SIGTERM again during its stop', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	await stopAndRelease(this, child => {
		child.kill('SIGTERM');
	}, 'SIGTERM');
});

Then('the stream is whole, and the process has stopped as planned', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	await checkEnd(this, 0);
});

Then('the stream is whole, and the process ends with exit code {int}', {timeout: longScenarioMs}, async function (this: SystemWorld, code: number) {
	await checkEnd(this, code);
	const {text} = getRunning(this);
	assert.match(text, /process: (uncaughtException|unhandledRejection), the process stops: Error: nothing handles this/v);
});
