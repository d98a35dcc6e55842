import {readFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {checkShape} from '../../maps/check-shape.js';
import {makePolicy} from '../../maps/make-policy.js';
import {parseTrace} from '../../maps/parse-trace.js';
import {type ReplayInterval} from '../../maps/replay-interval.js';
import {type ReplaySummary} from '../../maps/replay-summary.js';
import {replayTrace} from '../../maps/replay-trace.js';
import {summarizeReplay} from '../../maps/summarize-replay.js';
import {exitCode} from '../exit-code.js';

const count = z.coerce.number('expected a whole number above 0').int('expected a whole number above 0').positive('expected a whole number above 0');
const weight = z.coerce.number('expected a number of 0 or more').nonnegative('expected a number of 0 or more');
const options = z.object({
	'--ranks': count,
	'--slots': count,
	'--policy': z.enum(['static', 'repack', 'incremental'], 'expected static, repack or incremental'),
	'--skew-weight': weight,
	'--move-weight': weight,
});

/** `map replay TRACE`: evaluates a planning policy on a trace of expert loads. */
export class MapReplay extends Command {
	static override paths = [['map', 'replay']];
	static override usage = Command.Usage({
		description: 'replay a trace of expert loads under a policy and print skew, copies moved, switches and planning time',
		examples: [['The effect of more weight on moves', 'wardswitch map replay trace.jsonl --ranks 8 --slots 10 --policy incremental --move-weight 10']],
	});

	file = Option.String();
	ranks = Option.String('--ranks', {required: true, description: 'ranks of the group'});
	slots = Option.String('--slots', {required: true, description: 'slots per rank and layer'});
	policy = Option.String('--policy', {required: true, description: 'static, repack or incremental'});
	skewWeight = Option.String('--skew-weight', '1', {description: 'weight of a lower skew'});
	moveWeight = Option.String('--move-weight', '1', {description: 'weight of fewer copies moved'});
	mapsFile = Option.String('--maps', {description: 'file to write the map in force during each interval to, JSON Lines'});
	isJson = Option.Boolean('--json', false, {description: 'print JSON'});

	async execute(): Promise<number> {
		const parsed = options.safeParse({
			'--ranks': this.ranks, '--slots': this.slots, '--policy': this.policy, '--skew-weight': this.skewWeight, '--move-weight': this.moveWeight,
		});
		if (!parsed.success) {
			return this.fail(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`));
		}

		let text: string;
		try {
			text = readFileSync(this.file, 'utf8');
		} catch (error) {
			return this.fail([(error as Error).message]);
		}

		const trace = parseTrace(text);
		if (trace.isErr()) {
			return this.fail([`${this.file}: ${trace.error.message}`]);
		}

		const [{loads}] = trace.value;
		const shape = checkShape({
			layers: loads.length, experts: loads[0].length, ranks: parsed.data['--ranks'], slots: parsed.data['--slots'],
		});
		if (shape.isErr()) {
			return this.fail([shape.error.message]);
		}

		const weights = {skew: parsed.data['--skew-weight'], move: parsed.data['--move-weight']};
		const policy = makePolicy(parsed.data['--policy'], shape.value, weights);
		const intervals = replayTrace({
			trace: trace.value, shape: shape.value, policy, clock: () => performance.now(),
		});
		this.writeMaps(intervals);
		this.print(summarizeReplay(intervals));
		return exitCode.ok;
	}

	private writeMaps(intervals: readonly ReplayInterval[]): void {
		if (this.mapsFile !== undefined) {
			writeFileSync(this.mapsFile, intervals.map(({atMs, map}) => `${JSON.stringify({atMs, map})}\n`).join(''));
		}
	}

	private print(summary: ReplaySummary): void {
		const lines = [
			`intervals        ${summary.intervals}`,
			`mean skew        ${summary.meanSkew.toFixed(4)}`,
			`p95 skew         ${summary.p95Skew.toFixed(4)}`,
			`lower bound      ${summary.boundSkew.toFixed(4)}`,
			`copies moved     ${summary.moves}`,
			`switches         ${summary.switches}`,
			`planning p50     ${summary.planningP50Ms.toFixed(2)} ms`,
			`planning p99     ${summary.planningP99Ms.toFixed(2)} ms`,
		];
		this.context.stdout.write(`${this.isJson ? JSON.stringify(summary) : lines.join('\n')}\n`);
	}

	private fail(problems: readonly string[]): number {
		this.context.stderr.write(`${problems.join('\n')}\n`);
		return exitCode.refused;
	}
}
