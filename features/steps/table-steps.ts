import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {fetchTable} from '../../src/table/fetch-table.js';
import {parseTable} from '../../src/table/parse-table.js';
import {tableKeys} from '../../src/table/table-keys.js';
import {type TableSnapshot} from '../../src/table/table-snapshot.js';
import {runCommand} from '../support/run-command.js';
import {type SystemWorld} from '../support/system-world.js';
import {tokens} from '../support/tokens.js';

type Outcome = Awaited<ReturnType<typeof runCommand>>;

const folder = mkdtempSync(path.join(tmpdir(), 'wardswitch-features-'));
const file = path.join(folder, 'table.csv');

const getConnectionOptions = (world: SystemWorld): string[] => ['--platform', world.system.platform.url, '--vm-list', world.system.vmList.url];

const exportTable = async (world: SystemWorld): Promise<string> => {
	const {stdout} = await runCommand(['table', 'get', ...getConnectionOptions(world)]);
	return stdout;
};

const setWeight = (csv: string, organisation: string, weight: number): string => csv.split('\n')
	.map(line => line.startsWith(`*,${organisation},`) ? line.replace(/^(?<key>[^,]*,[^,]*,[^,]*),[^,]*/v, `$<key>,${weight}`) : line)
	.join('\n');

const applyTable = async (world: SystemWorld, csv: string): Promise<void> => {
	writeFileSync(file, csv);
	world.notes.set('outcome', await runCommand(['table', 'apply', file, '--change', 'the-change', ...getConnectionOptions(world)]));
};

const getOutcome = (world: SystemWorld): Outcome => world.notes.get('outcome') as Outcome;

const findWeight = (table: TableSnapshot | undefined, organisation: string): number | undefined => table?.findRow('any', organisation, 'any')?.weight;

When('an operator sets the weight of {string} to {int}', async function (this: SystemWorld, organisation: string, weight: number) {
	await applyTable(this, setWeight(await exportTable(this), organisation, weight));
});

When('an operator sets the weight of {string} to {int} from a file', async function (this: SystemWorld, organisation: string, weight: number) {
	await applyTable(this, setWeight(tokens.table, organisation, weight));
});

When('an operator removes {string} from the table', async function (this: SystemWorld, organisation: string) {
	const csv = await exportTable(this);
	await applyTable(this, csv.split('\n').filter(line => !line.startsWith(`*,${organisation},`)).join('\n'));
});

Given('two operators have exported the table', async function (this: SystemWorld) {
	this.notes.set('exported', await exportTable(this));
});

When(/^the (?:first|second) operator sets the weight of "([^"]+)" to (\d+)$/, async function (this: SystemWorld, organisation: string, weight: string) { // eslint-disable-line require-unicode-regexp
	writeFileSync(file, setWeight(this.notes.get('exported') as string, organisation, Number(weight)));
	this.notes.set('outcome', await runCommand(['table', 'apply', file, ...getConnectionOptions(this)]));
});

When('an operator applies this table:', async function (this: SystemWorld, csv: string) {
	await applyTable(this, csv);
});

When('an operator applies a table based on the restored platform', async function (this: SystemWorld) {
	writeFileSync(file, setWeight(await exportTable(this), 'marble', 9));
	this.notes.set('outcome', await runCommand(['table', 'apply', file, ...getConnectionOptions(this)]));
});

When('an operator restores the table', async function (this: SystemWorld) {
	this.notes.set('outcome', await runCommand(['table', 'restore', ...getConnectionOptions(this)]));
});

Then('the command prints {string} and exits with {int}', function (this: SystemWorld, text: string, code: number) {
	const outcome = getOutcome(this);
	assert.ok(outcome.stdout.includes(text), outcome.stdout + outcome.stderr);
	assert.equal(outcome.code, code);
});

Then('the command reports the error {string} and exits with {int}', function (this: SystemWorld, text: string, code: number) {
	const outcome = getOutcome(this);
	assert.ok(outcome.stderr.includes(text), outcome.stdout + outcome.stderr);
	assert.equal(outcome.code, code);
});

Then('looking up that change prints {string} and exits with {int}', async function (this: SystemWorld, text: string, code: number) {
	const outcome = await runCommand(['table', 'status', 'the-change', ...getConnectionOptions(this)]);
	assert.ok(outcome.stdout.includes(text), outcome.stdout + outcome.stderr);
	assert.equal(outcome.code, code);
});

Then('every entry and target knows version {int}', async function (this: SystemWorld, version: number) {
	await this.system.waitUntil(`version ${version} is known everywhere`, () =>
		[...this.system.entries.values()].every(entry => entry.getTable()?.version === version)
		&& [...this.system.targets.values()].every(({target}) => target.getStatus().tableVersion === version));
});

Then('every entry gives {string} the weight {int}', function (this: SystemWorld, organisation: string, weight: number) {
	for (const entry of this.system.entries.values()) {
		assert.equal(findWeight(entry.getTable(), organisation), weight);
	}
});

Then('the platform\'s table gives {string} the weight {int} and {string} the weight {int}', async function (this: SystemWorld, one: string, oneWeight: number, other: string, otherWeight: number) {
	const stored = await fetchTable(this.system.keyValue);
	const {snapshot} = stored._unsafeUnwrap();
	assert.deepEqual([findWeight(snapshot, one), findWeight(snapshot, other)], [oneWeight, otherWeight]);
});

const onHeadWritten = (world: SystemWorld, work: () => void): void => {
	const {store} = world.system.platform;
	const head = Buffer.from(tableKeys.head).toString('base64');
	const stop = store.subscribe(() => {
		if (store.changes.some(({key, revision}) => key === head && revision === store.revision)) {
			stop();
			work();
		}
	});
};

Given('the platform loses the answers to the next writes of pages and of the head', function (this: SystemWorld) {
	const {faults} = this.system.platform;
	faults.lostAnswers = 1;
	onHeadWritten(this, () => {
		faults.lostAnswers = 1;
	});
});

Given('the platform accepts the next change of the table and goes down before it answers', function (this: SystemWorld) {
	const {faults} = this.system.platform;
	onHeadWritten(this, () => {
		faults.lostAnswers = 1;
		faults.isDown = true;
	});
});

When('the platform is up again', function (this: SystemWorld) {
	this.system.platform.faults.isDown = false;
});

Given('a copy of the platform is made', function (this: SystemWorld) {
	this.notes.set('copy', this.system.platform.store.takeSnapshot());
});

When('the platform is restored from the copy and its watches break', function (this: SystemWorld) {
	this.system.platform.store.restore(this.notes.get('copy') as string);
	this.system.platform.breakWatches();
});

Given('the watches of the platform deliver nothing', function (this: SystemWorld) {
	this.system.platform.faults.isWatchSilent = true;
});

When('the watches of the platform break', function (this: SystemWorld) {
	this.system.platform.faults.isWatchSilent = false;
	this.system.platform.breakWatches();
});

Then('some entry reports {string}', async function (this: SystemWorld, text: string) {
	await this.system.waitUntil(`an entry reports "${text}"`, () => [...this.system.entries.values()].some(entry => {
		const {table} = entry.getStatus() as {table: {trouble?: string}};
		return table.trouble?.includes(text) ?? false;
	}));
});

Given('a running system of {int} entries in one zone', async function (this: SystemWorld, count: number) {
	await this.startSystem({zones: ['barre-hall'], entriesPerZone: count});
});

Then('{int} entries watch the platform', async function (this: SystemWorld, count: number) {
	await this.system.waitUntil('the watchers have settled', () => [...this.system.entries.values()].filter(entry => {
		const {table} = entry.getStatus() as {table: {isWatcher: boolean}};
		return table.isWatcher;
	}).length === count);
});

When('another entry starts in {string}', async function (this: SystemWorld, zone: string) {
	await this.system.startEntry('late-entry', zone);
});

When('the platform answers without delay again', function (this: SystemWorld) {
	this.system.platform.faults.delayMs = 0;
});
