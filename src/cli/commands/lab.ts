import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {type LoadResult} from '../../model/load-result.js';
import {LoadScenario} from '../../model/load-scenario.js';
import {simulateLoad} from '../../model/simulate-load.js';
import {policies} from '../../model/policies.js';
import {exitCode} from '../exit-code.js';

const seedCount = z.coerce.number('expected a whole number').int('expected a whole number').min(1, 'expected 1 or more');

type PolicyResult = Readonly<Record<keyof LoadResult, number>> & {readonly policy: string};

/** `lab SCENARIO`: compares admission policies in the load simulation. */
export class Lab extends Command {
	static override paths = [['lab']];
	static override usage = Command.Usage({
		description: 'simulate callers that request streams from a lock-step group, and compare the admission of an entry with reduced forms of it and with none, on the same seeds',
		examples: [['Twenty seeds of the example', 'wardswitch lab examples/lab.toml --seeds 20']],
	});

	scenarioPath = Option.String();
	seeds = Option.String('--seeds', '8', {description: 'number of seeds to simulate'});
	isJson = Option.Boolean('--json', false, {description: 'print JSON Lines'});

	async execute(): Promise<number> {
		const seeds = seedCount.safeParse(this.seeds);
		if (!seeds.success) {
			return this.fail(`--seeds: ${seeds.error.issues[0].message}`);
		}

		const scenario = this.readScenario();
		if (typeof scenario === 'string') {
			return this.fail(scenario);
		}

		for (const [policy, decide] of Object.entries(policies)) {
			const results = Array.from({length: seeds.data}, (_seed, index) => simulateLoad(scenario, index + 1, decide));
			this.print({policy, ...average(results)});
		}

		return exitCode.ok;
	}

	/* Returns the scenario, or an error message about its file. */
	private readScenario(): LoadScenario | string {
		try {
			const result = LoadScenario.safeParse(parse(readFileSync(this.scenarioPath, 'utf8')));
			if (result.success) {
				return result.data;
			}

			const [{path, message}] = result.error.issues;
			return `${this.scenarioPath}: ${path.join('.')}: ${message}`;
		} catch (error) {
			return `${this.scenarioPath}: ${(error as Error).message}`;
		}
	}

	private fail(message: string): number {
		this.context.stderr.write(`${message}\n`);
		return exitCode.usage;
	}

	private print(row: PolicyResult): void {
		const {policy, asked, onTime, late, refused, worth} = row;
		this.context.stdout.write(this.isJson
			? `${JSON.stringify(row)}\n`
			: `${policy.padEnd(14)} worth ${worth.toFixed(3)}  on time ${Math.round(onTime)}, late ${Math.round(late)}, refused ${Math.round(refused)} of ${Math.round(asked)}\n`);
	}
}

function average(results: readonly LoadResult[]): LoadResult {
	const mean = (key: keyof LoadResult): number => {
		let sum = 0;
		for (const result of results) {
			sum += result[key];
		}

		return sum / results.length;
	};

	return {
		asked: mean('asked'), onTime: mean('onTime'), late: mean('late'), refused: mean('refused'), worth: mean('worth'),
	};
}
