import {performance} from 'node:perf_hooks';
import {generateTrace} from '../src/maps/generate-trace.js';
import {makePolicy} from '../src/maps/make-policy.js';
import {type MapWeights} from '../src/maps/map-weights.js';
import {replayTrace} from '../src/maps/replay-trace.js';
import {summarizeReplay} from '../src/maps/summarize-replay.js';
import {TraceKind} from '../src/maps/trace-kind.js';
import {report} from './support/report.js';

type PolicyCase = {readonly label: string; readonly policy: 'static' | 'repack' | 'incremental'; readonly weights: MapWeights};

const policyCases: readonly PolicyCase[] = [
	{label: 'static', policy: 'static', weights: {skew: 1, move: 1}},
	{label: 'repack', policy: 'repack', weights: {skew: 1, move: 1}},
	{label: 'incremental, skew 10:1', policy: 'incremental', weights: {skew: 10, move: 1}},
	{label: 'incremental, even 1:1', policy: 'incremental', weights: {skew: 1, move: 1}},
	{label: 'incremental, moves 1:10', policy: 'incremental', weights: {skew: 1, move: 10}},
];
const shapes = [{ranks: 8, slots: 10}, {ranks: 64, slots: 2}];
const layers = 58;
const experts = 64;

/** Compares the map policies on all kinds of traces and both group shapes. Arguments: kinds to run, `--intervals N`, `--seed N`. */
export async function benchMaps(args: readonly string[]): Promise<void> {
	const readOption = (name: string, fallback: number): number => args.includes(name) ? Number(args[args.indexOf(name) + 1]) : fallback;
	const intervals = readOption('--intervals', 100);
	const seed = readOption('--seed', 1);
	const chosen = TraceKind.options.filter(kind => args.includes(kind));
	const cases = [];
	for (const {ranks, slots} of shapes) {
		const shape = {
			layers, experts, ranks, slots,
		};
		for (const kind of chosen.length > 0 ? chosen : TraceKind.options) {
			const trace = generateTrace({
				kind, seed, intervals, layers, experts, zipf: 0.8,
			});
			for (const {label, policy, weights} of policyCases) {
				const replay = replayTrace({
					trace, shape, policy: makePolicy(policy, shape, weights), clock: () => performance.now(),
				});
				const summary = summarizeReplay(replay);
				const lateMoves = replay.slice(intervals / 2).reduce((sum, {moves}) => sum + moves, 0);
				cases.push({
					shape: `${ranks}x${slots}`, kind, policy: label, ...summary, lateMoves,
				});
			}
		}
	}

	report('maps', cases);
}
