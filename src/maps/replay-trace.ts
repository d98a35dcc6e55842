import {boundSkew} from './bound-skew.js';
import {countMoves} from './count-moves.js';
import {type ExpertMap} from './expert-map.js';
import {makeStaticMap} from './make-static-map.js';
import {type MapPolicy} from './map-policy.js';
import {type MapShape} from './map-shape.js';
import {measureSkew} from './measure-skew.js';
import {type ReplayInterval} from './replay-interval.js';
import {type TraceInterval} from './trace-interval.js';

type ReplayOptions = {
	readonly trace: readonly TraceInterval[];
	readonly shape: MapShape;
	readonly policy: MapPolicy;
	/** Monotonic clock for the planning time, milliseconds. */
	readonly clock: () => number;
};

/** Replays a trace under a policy; the map in force during an interval was chosen from earlier intervals only. */
export function replayTrace({trace, shape, policy, clock}: ReplayOptions): ReplayInterval[] {
	let map: ExpertMap = makeStaticMap(shape);
	let moves = 0;
	return trace.map(({atMs, loads}) => {
		const inForce = map;
		const movesBefore = moves;
		const startedAt = clock();
		map = policy(inForce, loads);
		const planningMs = clock() - startedAt;
		moves = countMoves(inForce, map);
		return {
			atMs, map: inForce, moves: movesBefore, planningMs, skew: measureSkew(inForce, loads), bound: boundSkew(loads, shape),
		};
	});
}
