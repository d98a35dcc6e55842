import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {diffTables} from '../../src/table/diff-tables.js';
import {encodePages} from '../../src/table/encode-pages.js';
import {parseTable} from '../../src/table/parse-table.js';
import {Row} from '../../src/table/row.js';
import {type TableSnapshot} from '../../src/table/table-snapshot.js';
import {makeTableSnapshot} from '../support/make-table-snapshot.js';
import {type SystemWorld} from '../support/system-world.js';

Given('this table:', function (this: SystemWorld, csv: string) {
	this.notes.set('table', makeTableSnapshot(parseTable(csv)._unsafeUnwrap().rows, 1, 'x'));
});

Then('the row for {string}, {string}, {string} has weight {int}', function (this: SystemWorld, service: string, organisation: string, group: string, weight: number) {
	assert.equal((this.notes.get('table') as TableSnapshot).findRow(service, organisation, group)?.weight, weight);
});

Then('the row for {string}, {string}, {string} has weight {int} and no concurrency', function (this: SystemWorld, service: string, organisation: string, group: string, weight: number) {
	const row = (this.notes.get('table') as TableSnapshot).findRow(service, organisation, group);
	assert.deepEqual([row?.weight, row?.concurrency], [weight, undefined]);
});

Given('a table of {int} organisations and {int} services', function (this: SystemWorld, organisations: number, services: number) {
	const rows = Array.from({length: organisations * services}, (_, index) => Row.parse({
		service: `service-${index % services}`, organisation: `organisation-${Math.floor(index / services)}`, group: '*', concurrency: 10, tokenHashes: ['ab'.repeat(32)],
	}));
	this.notes.set('rows', rows);
});

Then('every stored page is under {int} bytes', function (this: SystemWorld, bytes: number) {
	const pages = encodePages(this.notes.get('rows') as Row[]);
	assert.ok(pages.every(({text}) => text.length < bytes));
	assert.equal(pages.flatMap(({text}) => JSON.parse(text) as Row[]).length, (this.notes.get('rows') as Row[]).length);
});

Then('changing one row changes {int} page', function (this: SystemWorld, count: number) {
	const rows = this.notes.get('rows') as Row[];
	const changed = rows.with(7, {...rows[7], weight: 9});
	assert.equal(diffTables(rows, changed).length, 1);
	const before = new Set(encodePages(rows).map(({hash}) => hash));
	assert.equal(encodePages(changed).filter(({hash}) => !before.has(hash)).length, count);
});
