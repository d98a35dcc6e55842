import process from 'node:process';

type Benchmark = (args: readonly string[]) => Promise<void>;

const benchmarks: Readonly<Record<string, () => Promise<Benchmark>>> = {
	async path() {
		const {benchPath} = await import('./path.js');
		return benchPath;
	},
	async forward() {
		const {benchForward} = await import('./forward.js');
		return benchForward;
	},
	async capacity() {
		const {benchCapacity} = await import('./capacity.js');
		return benchCapacity;
	},
	async routing() {
		const {benchRouting} = await import('./routing.js');
		return benchRouting;
	},
	async limits() {
		const {benchLimits} = await import('./limits.js');
		return benchLimits;
	},
	async table() {
		const {benchTable} = await import('./table.js');
		return benchTable;
	},
	async 'trade-off'() {
		const {benchTradeOff} = await import('./trade-off.js');
		return benchTradeOff;
	},
	async maps() {
		const {benchMaps} = await import('./maps.js');
		return benchMaps;
	},
};

const [name, ...args] = process.argv.slice(2);
const load = benchmarks[name];
if (load) {
	const bench = await load();
	await bench(args);
} else {
	process.stderr.write(`usage: npm run bench -- ${Object.keys(benchmarks).join('|')}\n`);
	process.exitCode = 2;
}
