import {writeFileSync} from 'node:fs';
import {generateTrace} from '../src/maps/generate-trace.js';
import {makePolicy} from '../src/maps/make-policy.js';
import {replayTrace} from '../src/maps/replay-trace.js';
import {summarizeReplay} from '../src/maps/summarize-replay.js';
import {type TraceKind} from '../src/maps/trace-kind.js';
import {drawCurves} from './support/draw-curves.js';
import {report} from './support/report.js';

const weightRatios = [0.03, 0.1, 0.3, 1, 3, 10, 30];
const traceCases: ReadonlyArray<{readonly kind: TraceKind; readonly ranks: number; readonly slots: number; readonly color: string}> = [
	{
		kind: 'season', ranks: 64, slots: 2, color: '#1f77b4',
	},
	{
		kind: 'flip', ranks: 64, slots: 2, color: '#d62728',
	},
	{
		kind: 'season', ranks: 8, slots: 10, color: '#2ca02c',
	},
	{
		kind: 'flip', ranks: 8, slots: 10, color: '#9467bd',
	},
];
const layers = 58;
const experts = 64;

/** Measures mean skew and moved copies for different ratios of the skew and move weights, and draws them as docs/trade-off.svg. */
export async function benchTradeOff(): Promise<void> {
	const cases = [];
	const curves = [];
	for (const {kind, ranks, slots, color} of traceCases) {
		const shape = {
			layers, experts, ranks, slots,
		};
		const trace = generateTrace({
			kind, seed: 1, intervals: 100, layers, experts, zipf: 0.8,
		});
		const points = [];
		for (const ratio of weightRatios) {
			const policy = makePolicy('incremental', shape, {skew: ratio, move: 1});
			const {meanSkew, moves} = summarizeReplay(replayTrace({
				trace, shape, policy, clock: () => 0,
			}));
			cases.push({
				shape: `${ranks}x${slots}`, kind, skewByMoveWeight: ratio, meanSkew, moves,
			});
			points.push({x: moves, y: meanSkew, label: String(ratio)});
		}

		curves.push({name: `${kind}, ${ranks} ranks x ${slots}`, color, points});
	}

	writeFileSync('docs/trade-off.svg', drawCurves(curves, {title: 'Mean skew against copies moved, by skew weight / move weight', x: 'copies moved in 100 intervals', y: 'mean skew'}));
	report('trade-off', cases);
}
