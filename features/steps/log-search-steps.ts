import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {runCommand} from '../support/run-command.js';
import {type SystemWorld} from '../support/system-world.js';

type Outcome = Awaited<ReturnType<typeof runCommand>>;

const getOutcome = (world: SystemWorld): Outcome => world.notes.get('outcome') as Outcome;

Given('the log', function (this: SystemWorld, table: DataTable) {
	const lines = table.hashes().map(({at, source, part, message}) => {
		const line = JSON.stringify({context: {part}, message, time: Number(at)});
		return `  ${Number(at) / 1000} ${source} ${line}`;
	});
	this.notes.set('log', ['a line of another program', ...lines, '{"not": "ours"}'].join('\n'));
});

When('an operator runs {string} on the log', async function (this: SystemWorld, command: string) {
	const [, ...words] = command.split(' ');
	this.notes.set('outcome', await runCommand(words, Readable.from([this.notes.get('log') as string])));
});

Then('the lines at {} are shown', function (this: SystemWorld, times: string) {
	const {code, stdout} = getOutcome(this);
	assert.equal(code, 0);
	assert.deepEqual(stdout.trim().split('\n').map(line => Date.parse(line.split(' ', 1)[0])), times.split(', ').map(Number));
});

Then('the command fails with the message {string}', function (this: SystemWorld, text: string) {
	const {code, stderr} = getOutcome(this);
	assert.notEqual(code, 0);
	assert.ok(stderr.includes(text), stderr);
});
