import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {type z} from 'zod';
import {makePages} from '../../bench/support/make-pages.js';
import {EntrySettings} from '../../src/config/entry-settings.js';
import {ForwardEntrySettings} from '../../src/config/forward-entry-settings.js';
import {RankSettings} from '../../src/config/rank-settings.js';
import {readSettings} from '../../src/config/read-settings.js';
import {TargetSettings} from '../../src/config/target-settings.js';
import {type SystemWorld} from '../support/system-world.js';

const settingsSchemas = {
	'wardswitch-entry': EntrySettings,
	'wardswitch-target': TargetSettings,
	'forwarding wardswitch-entry': ForwardEntrySettings,
	'wardswitch-rank': RankSettings,
} as const;
const exampleFiles = {
	'wardswitch-entry': 'examples/entry.toml',
	'wardswitch-target': 'examples/target.toml',
	'forwarding wardswitch-entry': 'examples/forward-entry.toml',
	'wardswitch-rank': 'examples/rank.toml',
} as const;
type Program = keyof typeof settingsSchemas;

const readProgramSettings = (program: string, file: string) => readSettings<z.ZodType>(file, settingsSchemas[program as Program]);

Then('every page written by {string} is as it would be written now', (_command: string) => {
	for (const {file, text} of makePages()) {
		assert.equal(readFileSync(file, 'utf8'), text, `${file} is out of date; run "npm run docs"`);
	}
});

When('{string} checks {string}', function (this: SystemWorld, program: string, file: string) {
	this.notes.set('settings', readProgramSettings(program, file));
});

Then('the settings are accepted', function (this: SystemWorld) {
	(this.notes.get('settings') as ReturnType<typeof readProgramSettings>)._unsafeUnwrap();
});

Given('example settings of {string} with {string} in place of {string}', function (this: SystemWorld, program: string, line: string, old: string) {
	const example = readFileSync(exampleFiles[program as Program], 'utf8');
	assert.ok(example.includes(old));
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'wardswitch-settings-')), 'settings.toml');
	writeFileSync(file, example.replace(old, line));
	this.notes.set('program', program);
	this.notes.set('file', file);
});

When('they are read', function (this: SystemWorld) {
	this.notes.set('settings', readProgramSettings(this.notes.get('program') as string, this.notes.get('file') as string));
});

Then('the problem names the file, {string} and {string}', function (this: SystemWorld, key: string, expectation: string) {
	const {message} = (this.notes.get('settings') as ReturnType<typeof readProgramSettings>)._unsafeUnwrapErr();
	assert.ok(message.includes(this.notes.get('file') as string), message);
	assert.ok(message.includes(key), message);
	assert.ok(message.includes(expectation), message);
});
