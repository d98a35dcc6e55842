type Point = {readonly x: number; readonly y: number; readonly label: string};
type Curve = {readonly name: string; readonly color: string; readonly points: readonly Point[]};
type Axes = {readonly x: string; readonly y: string; readonly title: string};

const width = 720;
const height = 420;
const margin = {
	left: 70, right: 190, top: 40, bottom: 50,
};
const ticks = 5;

/** Draws curves as an SVG image. Both axes are linear; x starts at zero, y at the least value. */
export function drawCurves(curves: readonly Curve[], axes: Axes): string {
	const all = curves.flatMap(({points}) => points);
	const greatestX = Math.max(...all.map(({x}) => x));
	const leastY = Math.min(...all.map(({y}) => y));
	const greatestY = Math.max(...all.map(({y}) => y));
	const placeX = (x: number): number => margin.left + ((width - margin.left - margin.right) * x / greatestX);
	const placeY = (y: number): number => height - margin.bottom - ((height - margin.top - margin.bottom) * (y - leastY) / (greatestY - leastY));
	const shapes = [
		`<text x="${width / 2}" y="22" text-anchor="middle" font-size="15">${axes.title}</text>`,
		`<text x="${(margin.left + width - margin.right) / 2}" y="${height - 10}" text-anchor="middle">${axes.x}</text>`,
		`<text x="16" y="${height / 2}" text-anchor="middle" transform="rotate(-90 16 ${height / 2})">${axes.y}</text>`,
	];
	for (let tick = 0; tick <= ticks; tick++) {
		const x = greatestX * tick / ticks;
		const y = leastY + ((greatestY - leastY) * tick / ticks);
		shapes.push(
			`<text x="${placeX(x)}" y="${height - margin.bottom + 16}" text-anchor="middle">${Math.round(x)}</text>`,
			`<text x="${margin.left - 6}" y="${placeY(y) + 4}" text-anchor="end">${y.toFixed(2)}</text>`,
			`<line x1="${margin.left}" x2="${width - margin.right}" y1="${placeY(y)}" y2="${placeY(y)}" stroke="#ddd"/>`,
		);
	}

	for (const [index, {name, color, points}] of curves.entries()) {
		const line = points.map(({x, y}) => `${placeX(x).toFixed(1)},${placeY(y).toFixed(1)}`).join(' ');
		shapes.push(
			`<polyline points="${line}" fill="none" stroke="${color}" stroke-width="2"/>`,
			...points.map(({x, y, label}) => `<circle cx="${placeX(x).toFixed(1)}" cy="${placeY(y).toFixed(1)}" r="3" fill="${color}"><title>${label}</title></circle>`),
			...points.map(({x, y, label}) => `<text x="${(placeX(x) + 5).toFixed(1)}" y="${(placeY(y) - 5).toFixed(1)}" font-size="9" fill="${color}">${label}</text>`),
			`<text x="${width - margin.right + 12}" y="${margin.top + 20 + (index * 18)}" fill="${color}">${name}</text>`,
		);
	}

	return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">\n<rect width="100%" height="100%" fill="#fff"/>\n${shapes.join('\n')}\n</svg>\n`;
}
