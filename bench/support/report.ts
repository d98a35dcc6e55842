import process from 'node:process';

type Figure = string | number;
type Case = Readonly<Record<string, Figure>>;

const format = (figure: Figure | undefined): string => typeof figure === 'number' && !Number.isInteger(figure) ? figure.toPrecision(4) : String(figure ?? '');

/** Prints one JSON line per case, and a readable table of all cases. */
export function report(title: string, cases: readonly Case[]): void {
	for (const one of cases) {
		process.stdout.write(`${JSON.stringify({bench: title, ...one})}\n`);
	}

	const headings = [...new Set(cases.flatMap(one => Object.keys(one)))];
	const widths = headings.map(heading => Math.max(heading.length, ...cases.map(one => format(one[heading]).length)));
	const writeLine = (cells: readonly string[]): void => {
		process.stdout.write(`${cells.map((cell, index) => cell.padEnd(widths[index])).join('  ').trimEnd()}\n`);
	};

	process.stdout.write('\n');
	writeLine(headings);
	for (const one of cases) {
		writeLine(headings.map(heading => format(one[heading])));
	}
}
