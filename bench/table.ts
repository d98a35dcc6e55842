import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {readClock} from '../src/config/read-clock.js';
import {applyTable} from '../src/table/apply-table.js';
import {diffTables} from '../src/table/diff-tables.js';
import {encodePages} from '../src/table/encode-pages.js';
import {formatTable} from '../src/table/format-table.js';
import {parseTable} from '../src/table/parse-table.js';
import {Row} from '../src/table/row.js';
import {startSystem} from '../stand-ins/system/start-system.js';
import {report} from './support/report.js';

const organisations = 6700;
const services = 4;
const changes = 20;

const makeRows = (): Row[] => Array.from({length: organisations * services}, (_, index) => Row.parse({
	service: `service-${index % services}`, organisation: `organisation-${Math.floor(index / services)}`, group: '*', concurrency: 10,
}));

const measureTime = <Value>(name: string, work: () => Value, results: Array<Record<string, string | number>>): Value => {
	const startedAt = performance.now();
	const value = work();
	results.push({case: name, milliseconds: performance.now() - startedAt});
	return value;
};

/* Measures the time from the acceptance of a change until it is in force in every process; `prepare` runs before each change. */
const measurePropagation = async (name: string, prepare: (system: Awaited<ReturnType<typeof startSystem>>) => void): Promise<Record<string, string | number>> => {
	const system = await startSystem({
		zones: ['zone-1', 'zone-2'], entriesPerZone: 4, ranks: 16, workers: 3, table: 'service,organisation,group,weight\n*,x,*,1\n', clock: readClock, random: Math.random,
	});
	const propagationMs: number[] = [];
	for (let change = 2; change < changes + 2; change++) {
		prepare(system);
		const edited = parseTable(`service,organisation,group,weight,based_on\n*,x,*,${change},${change - 1}\n`)._unsafeUnwrap();
		const applied = await applyTable(system.keyValue, edited, {
			changeId: randomUUID(), operator: 'bench', now: readClock(), knownVersion: 0,
		});
		const version = applied._unsafeUnwrap();
		const acceptedAt = performance.now();
		await system.waitUntil('the change is in force everywhere', () =>
			[...system.entries.values()].every(entry => entry.getTable()?.version === version)
			&& [...system.targets.values()].every(({target}) => target.getStatus().tableVersion === version));
		propagationMs.push(performance.now() - acceptedAt);
	}

	await system.close();
	propagationMs.sort((one, other) => one - other);
	return {case: name, milliseconds: propagationMs[Math.floor(propagationMs.length / 2)], greatest: propagationMs.at(-1)!};
};

/** Measures table operations with 26,800 rows, and the propagation of a change to 8 entries and 19 targets. */
export async function benchTable(): Promise<void> {
	const results: Array<Record<string, string | number>> = [];
	const rows = makeRows();
	const csv = measureTime('format 26800 rows', () => formatTable(rows, 1), results);
	const parsed = measureTime('parse and check 26800 rows', () => parseTable(csv)._unsafeUnwrap(), results);
	const changed = parsed.rows.with(5, {...parsed.rows[5], weight: 7});
	measureTime('diff 26800 rows', () => diffTables(parsed.rows, changed), results);
	const pages = measureTime('encode pages of 26800 rows', () => encodePages(changed), results);
	const before = new Set(encodePages(parsed.rows).map(({hash}) => hash));
	const written = pages.filter(({hash}) => !before.has(hash)).reduce((sum, {text}) => sum + text.length, 0);
	results.push(
		{case: 'bytes of the CSV', bytes: csv.length},
		{case: 'bytes of all pages', bytes: pages.reduce((sum, {text}) => sum + text.length, 0)},
		{case: 'bytes written for one changed row', bytes: written},
		await measurePropagation('in force at 8 entries and 19 targets, healthy, p50', () => undefined),
		await measurePropagation('the same with every watch broken before each change, p50', system => {
			system.platform.breakWatches();
		}),
	);
	report('table', results);
}
