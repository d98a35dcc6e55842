import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then} from '@cucumber/cucumber';
import {readKnownRed} from '../support/read-known-red.js';
import {type SystemWorld} from '../support/system-world.js';

Given('a list of known failures with the line {string}', function (this: SystemWorld, line: string) {
	const folder = mkdtempSync(path.join(tmpdir(), 'known-red-'));
	this.onClose(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'list.txt');
	writeFileSync(file, `${line}\n`);
	this.notes.set('known red', file);
});

Then('{string} is known to fail', function (this: SystemWorld, name: string) {
	assert.deepEqual([...readKnownRed(this.notes.get('known red') as string)], [name]);
});

Then('reading the list fails at line {int}', function (this: SystemWorld, line: number) {
	const file = this.notes.get('known red') as string;
	assert.throws(() => readKnownRed(file), (error: Error) => error.message.startsWith(`${file}:${line}: expected`));
});
