import {type CapacityFigure} from './capacity-figure.js';

/** Formats measured figures as a Markdown table. */
export function formatFigures(figures: readonly CapacityFigure[]): string {
	const rows = figures.map(({name, median, least, greatest}) => `| ${name} | ${median} | ${least} to ${greatest} |`);
	return ['| figure | median of 3 runs | spread |', '|---|---|---|', ...rows].join('\n');
}
