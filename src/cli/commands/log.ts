import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {type LogLine} from '../../log-search/log-line.js';
import {parseLogLine} from '../../log-search/parse-log-line.js';
import {selectLines} from '../../log-search/select-lines.js';
import {exitCode} from '../exit-code.js';

const milliseconds = z.coerce.number('expected a whole number of milliseconds').int('expected a whole number of milliseconds').nonnegative('expected 0 or more');

/** `log [WORD ...]`: searches the logs of processes. */
export class Log extends Command {
	static override paths = [['log']];
	static override usage = Command.Usage({
		description: 'find the lines on a request, a target or a part in the logs of processes, with the lines that led up to them',
		examples: [['All lines on one request, and the state changes of its entry in the ten seconds before', 'wardswitch log dd90ba18d90f1cc5 --context 10000 --file entries.log']],
	});

	words = Option.Rest();
	file = Option.String('--file', {description: 'log of one or more processes; standard input by default'});
	part = Option.String('--part', {description: 'part of the process that wrote the line, such as view, fleet, request, rank'});
	contextOption = Option.String('--context', '0', {description: 'also show the state changes of the process in this many milliseconds before each line found'});
	isJson = Option.Boolean('--json', false, {description: 'print JSON Lines'});

	async execute(): Promise<number> {
		const contextMs = milliseconds.safeParse(this.contextOption);
		if (!contextMs.success) {
			this.context.stderr.write(`--context: ${contextMs.error.issues[0].message}\n`);
			return exitCode.refused;
		}

		const lines = await this.readLines();
		const selected = selectLines(lines, {words: this.words, part: this.part, contextMs: contextMs.data});
		for (const line of selected) {
			this.context.stdout.write(`${this.isJson ? JSON.stringify(line) : this.format(line)}\n`);
		}

		if (selected.length === 0) {
			this.context.stderr.write(`nothing found in ${lines.length} lines\n`);
			return exitCode.refused;
		}

		return exitCode.ok;
	}

	private async readLines(): Promise<LogLine[]> {
		const input = this.file === undefined ? this.context.stdin : createReadStream(this.file);
		const lines: LogLine[] = [];
		for await (const text of createInterface({input, crlfDelay: Number.POSITIVE_INFINITY})) {
			const line = parseLogLine(text);
			if (line) {
				lines.push(line);
			}
		}

		return lines;
	}

	private format({source, time, message}: LogLine): string {
		return [new Date(time).toISOString(), source, message].filter(word => word !== '').join(' ');
	}
}
