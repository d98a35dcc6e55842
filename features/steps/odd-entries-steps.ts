import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type ForwardSystem} from '../support/forward-system.js';
import {oddValues} from '../support/odd-values.js';
import {StoreSimulation} from '../support/store-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

const seed = 5;
const secondMs = 1000;
/** Longest log line about an odd item, characters. */
const longestLine = 600;
const oddKeys = ['', '__proto__', 'a\r\nX: y', 'a\0b', '\u{1F600}', 'k'.repeat(180)];
const prefixes = ['targets/', 'wardswitch/entries/', 'wardswitch/groups/desk/', 'wardswitch/crashes/', 'wardswitch/crashing-parts/', 'wardswitch/planners/desk/'];

const getSimulation = (world: SystemWorld): StoreSimulation => world.notes.get('simulation') as StoreSimulation;
const getSystem = (world: SystemWorld): ForwardSystem => world.notes.get('forward') as ForwardSystem;
const route = {
	name: 'read',
	host: 'desk.example',
	prefix: '/read/',
	kind: 'idempotent',
	timeoutMs: 3000,
	targetLatencyMs: 400,
	destinations: [{service: 'desk', weight: 1}],
	maximumAttempts: 2,
	isPublic: true,
	isResumable: false,
};
const isPlain = (line: string): boolean => line.length <= longestLine && !line.includes('\n');

const listOddItems = (prefix: string): ReadonlyArray<readonly [string, string]> => [
	...Object.values(oddValues).map((value, index) => [`${prefix}odd-${index}-`, value] as const),
	...oddKeys.map(key => [`${prefix}${key}`, oddValues['text that is not JSON']] as const),
];

Given('{int} entries that follow a store with a target', async function (this: SystemWorld, count: number) {
	const simulation = new StoreSimulation(seed);
	this.notes.set('simulation', simulation);
	this.onClose(() => {
		simulation.close();
	});
	simulation.configure();
	simulation.register('first');
	for (let id = 1; id <= count; id++) {
		simulation.start(String(id));
	}

	await simulation.advance(secondMs);
});

When('another writer leaves odd items under {string}', async function (this: SystemWorld, prefix: string) {
	const simulation = getSimulation(this);
	const items = listOddItems(prefix);
	for (const [key, value] of items) {
		simulation.store.put(key, value);
	}

	this.notes.set('odd keys', items.map(([key]) => key));
	await simulation.advance(secondMs);
});

Then('a target that registers later is used, and the next configuration is in force', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.configure();
	simulation.register('late');
	await simulation.advance(4 * secondMs);
	assert.deepEqual(simulation.violations, []);
	assert.equal(simulation.countUsing('late'), simulation.entries.size);
	assert.deepEqual([...simulation.entries.values()].map(({version}) => version), [...simulation.entries].map(() => simulation.version));
});

Then('each entry has logged each odd item once, in one short line', function (this: SystemWorld) {
	const {logLines, entries} = getSimulation(this);
	const counts = (this.notes.get('odd keys') as string[]).map(key => {
		const name = JSON.stringify(key).slice(1, -1);
		const lines = logLines.filter(line => line.includes(` ${name}: `));
		return [key, lines.length, lines.filter(line => isPlain(line)).length];
	});
	assert.deepEqual(counts.filter(([, count, plain]) => count !== entries.size || plain !== count), []);
});

When('another writer replaces the configuration by odd ones, one after the other', async function (this: SystemWorld) {
	const simulation = getSimulation(this);
	simulation.writeConfiguration(simulation.version + 50);
	const sound = JSON.stringify({...JSON.parse(simulation.store.read('configuration')!) as object, routes: [route]});
	const replace = (from: RegExp, to: string): string => {
		const text = sound.replace(from, to);
		assert.notEqual(text, sound);
		return text;
	};

	const odd = [
		...Object.values(oddValues),
		replace(/"version":\d+/v, '"version":1e400'),
		replace(/"version":\d+/v, '"version":1e300'),
		replace(/"timeoutMs":\d+/v, '"timeoutMs":1e400'),
		replace(/"timeoutMs":\d+/v, '"timeoutMs":-1'),
		replace(/"weight":\d+/v, '"weight":-1'),
		replace(/"prefix":"[^"]*"/v, `"prefix":${oddValues['very deep nesting']}`),
		replace(/"maximumConnections":\d+/v, '"maximumConnections":0'),
		replace(/"routes":\[.*?\]/v, '"routes":{"__proto__":[]}'),
	];
	for (const value of odd) {
		simulation.store.put('configuration', value);
		await simulation.advance(secondMs);
	}

	this.notes.set('odd configurations', odd.length);
});

Then('each entry has logged each odd configuration once, in one short line', function (this: SystemWorld) {
	const {logLines, entries} = getSimulation(this);
	const lines = logLines.filter(line => line.includes('configuration not accepted'));
	assert.deepEqual(lines.filter(line => !isPlain(line)), []);
	// Two in a row may have the same problem, which is logged once.
	const most = entries.size * (this.notes.get('odd configurations') as number);
	assert.ok(lines.length > most / 2 && lines.length <= most, lines.join('\n'));
});

When('another writer leaves odd items of all kinds', function (this: SystemWorld) {
	for (const prefix of prefixes) {
		for (const [key, value] of listOddItems(prefix)) {
			getSystem(this).store.put(key, value);
		}
	}
});

type Configuration = ForwardSystem['configuration'];

const makeRoutes = (change: (read: Configuration['routes'][number]) => void) => (configuration: Configuration): void => {
	change(configuration.routes[0]);
};

const extremes: Readonly<Record<string, (configuration: Configuration) => void>> = {
	'a timeout of 1e300 ms': makeRoutes(read => {
		read.timeoutMs = 1e300;
	}),
	'an objective of 1e300 ms': makeRoutes(read => {
		read.targetLatencyMs = 1e300;
	}),
	'weights of 0': makeRoutes(read => {
		read.destinations = [{service: 'desk', weight: 0}];
	}),
	'weights of 1e308': makeRoutes(read => {
		read.destinations = [{service: 'desk', weight: 1e308}, {service: 'desk', weight: 1e308}];
	}),
	'an empty prefix': makeRoutes(read => {
		read.prefix = '';
	}),
	'9007199254740991 attempts': makeRoutes(read => {
		read.maximumAttempts = Number.MAX_SAFE_INTEGER;
	}),
	'5000 more routes'({routes}) {
		routes.push(...Array.from({length: 5000}, (_empty, index) => ({...routes[0], name: `more-${index}`, prefix: `/more/${index}/`})));
	},
	'a key named __proto__'({organisations}) {
		organisations.push({name: '__proto__', keys: ['__proto__']});
	},
	'limits of 1e15'({limits}) {
		Object.assign(limits, {
			maximumHeaderBytes: 1e15, maximumBodyBytes: 1e15, headerTimeoutMs: 1e15, idleTimeoutMs: 1e15,
		});
	},
};

When('the configuration has {}', async function (this: SystemWorld, what: string) {
	const system = getSystem(this);
	system.configure(extremes[what]);
	// The next version shows that the extreme one was read.
	system.configure(({routes}) => {
		routes.push({
			...routes[1], name: 'next', prefix: '/next/', kind: 'idempotent',
		});
	});
	await system.until(async () => {
		const {status} = await system.call({path: '/next/1'});
		return status === 200;
	});
});

Then('every request is served until a target that registers later is used', async function (this: SystemWorld) {
	const system = getSystem(this);
	const statuses = new Set<number>();
	const late = await system.addTarget('late');
	await system.until(async () => {
		for (const entry of system.entries.keys()) {
			const {status} = await system.call({entry, path: '/read/1'});
			statuses.add(status);
		}

		return late.runs.length > 0;
	});
	assert.deepEqual([...statuses], [200]);
});

Then('each entry counts {int} registered entries', function (this: SystemWorld, count: number) {
	const counts = [...getSimulation(this).entries.values()].map(({state}) => state.countRegistered());
	assert.deepEqual(counts, counts.map(() => count));
});
