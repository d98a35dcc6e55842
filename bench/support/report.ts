import process from 'node:process';

type Figure = string | number;
type Case = Readonly<Record<string, Figure>>;

const format = (figure: Figure | undefined): string => typeof figure === 'number' && !Number.isInteger(figure) ? figure.toPrecision(4) : String(figure ?? '');

/** Prints one JSON line per case, and a readable table of all cases. */
export function report(title: string, cases: readonly Case[]): void {
	for (const row of cases) {
		process.stdout.write(`${JSON.stringify({bench: title, ...row})}\n`);
	}

	const headings = [...new Set(cases.flatMap(row => Object.keys(row)))];
	const widths = headings.map(heading => Math.max(heading.length, ...cases.map(row => format(row[heading]).length)));
	const writeLine = (cells: readonly string[]): void => {
		process.stdout.write(`${cells.map((cell, index) => cell.padEnd(widths[index])).join('  ').trimEnd()}\n`);
	};

	process.stdout.write('\n');
	writeLine(headings);
	for (const row of cases) {
		writeLine(headings.map(heading => format(row[heading])));
	}
}
