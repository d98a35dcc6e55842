import {report} from './support/report.js';
import {simulateLimits} from './support/simulate-limits.js';

const shared = {limit: 100, offered: 300, seconds: 60};
const cases = [
	{name: 'healthy', cutFromMs: Number.POSITIVE_INFINITY, noticedAfterMs: 0},
	{name: 'one of two zones cut off at 20 s, noticed 15 s later', cutFromMs: 20_000, noticedAfterMs: 15_000},
];

/**
 * Measures by how much admissions exceed a limit shared by eight entries, without a fault and with a network partition between
 * two zones.
 */
export async function benchLimits(): Promise<void> {
	const results = [];
	for (const {name, ...cut} of cases) {
		const admitted = await simulateLimits({...shared, ...cut});
		const between = (from: number, to: number): number => admitted.slice(from, to).reduce((sum, count) => sum + count, 0) / (to - from);
		results.push({
			case: name,
			limitPerSecond: shared.limit,
			admittedPerSecondTo20: between(5, 20),
			admittedPerSecondTo35: between(20, 35),
			admittedPerSecondFrom40: between(40, 60),
			mostInOneSecond: Math.max(...admitted.slice(2)),
		});
	}

	report('limits', results);
}
