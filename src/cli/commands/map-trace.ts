import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {generateTrace} from '../../maps/generate-trace.js';
import {TraceKind} from '../../maps/trace-kind.js';
import {exitCode} from '../exit-code.js';

const count = z.coerce.number('expected a whole number above 0').int('expected a whole number above 0').positive('expected a whole number above 0');
const options = z.object({
	kind: z.enum(TraceKind.options, `expected ${TraceKind.options.join(', ')}`),
	seed: z.coerce.number('expected a whole number').int('expected a whole number'),
	intervals: count,
	layers: count,
	experts: count,
	zipf: z.coerce.number('expected a number of 0 or more').nonnegative('expected a number of 0 or more'),
});

/** `map trace`: generates a trace of expert loads. */
export class MapTrace extends Command {
	static override paths = [['map', 'trace']];
	static override usage = Command.Usage({description: 'write a seeded trace of expert loads, JSON Lines'});
	kind = Option.String('--kind', {required: true, description: TraceKind.options.join(', ')});
	seed = Option.String('--seed', '1', {description: 'the same seed gives the same trace'});
	intervals = Option.String('--intervals', '100', {description: 'intervals to write, one per line'});
	layers = Option.String('--layers', '58', {description: 'layers'});
	experts = Option.String('--experts', '64', {description: 'experts per layer'});
	zipf = Option.String('--zipf', '0.8', {description: 'exponent of the Zipf distribution of expert popularity; 0 is uniform'});

	async execute(): Promise<number> {
		const {kind, seed, intervals, layers, experts, zipf} = this;
		const parsed = options.safeParse({
			kind, seed, intervals, layers, experts, zipf,
		});
		if (!parsed.success) {
			this.context.stderr.write(parsed.error.issues.map(issue => `--${issue.path.join('.')}: ${issue.message}\n`).join(''));
			return exitCode.refused;
		}

		for (const interval of generateTrace(parsed.data)) {
			this.context.stdout.write(`${JSON.stringify(interval)}\n`);
		}

		return exitCode.ok;
	}
}
