import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {StartingProcess} from '../support/starting-process.js';
import {type SystemWorld} from '../support/system-world.js';

type Moment = (started: StartingProcess, send: () => void) => Promise<void>;

const hangupNumber = 1;
const longScenarioMs = 30_000;
const getProcess = (world: SystemWorld): StartingProcess => world.notes.get('process') as StartingProcess;

const moments: Readonly<Record<string, Moment>> = {
	async 'before it reads settings'(started, send) {
		await started.untilHandled(hangupNumber);
		send();
		started.writeSettings(await started.untilReading());
	},
	async 'while it reads settings'(started, send) {
		const descriptor = await started.untilReading();
		send();
		started.writeSettings(descriptor);
	},
	async 'as soon as it listens'(started, send) {
		started.writeSettings(await started.untilReading());
		await started.untilListening();
		send();
	},
};

When('{string} is started and is sent {word} {}', {timeout: longScenarioMs}, async function (this: SystemWorld, program: string, signals: string, moment: string) {
	const started = await StartingProcess.start(program);
	this.notes.set('process', started);
	this.onClose(() => {
		started.kill();
	});
	await moments[moment](started, () => {
		for (const signal of signals.split('+')) {
			started.send(signal as NodeJS.Signals);
		}
	});
});

Then('it ends at once, with exit code {int}', {timeout: longScenarioMs}, async function (this: SystemWorld, code: number) {
	const started = getProcess(this);
	await started.until(() => started.hasEnded, true);
	assert.equal(started.ending.startsWith(`code ${code}, signal null`), true, started.ending);
});

Then('it goes on and logs the signal', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	const started = getProcess(this);
	await started.until(() => started.text.includes('SIGHUP: the settings file is valid'));
	await started.untilListening();
	started.send('SIGTERM');
	await started.until(() => started.hasEnded, true);
	assert.match(started.ending, /^code 0, signal null/v);
});

Then('it stops as planned', {timeout: longScenarioMs}, async function (this: SystemWorld) {
	const started = getProcess(this);
	await started.until(() => started.hasEnded, true);
	assert.match(started.ending, /^code 0, signal null/v);
	assert.doesNotMatch(started.text, /"logLevel":50/v);
});
