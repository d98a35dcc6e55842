/**
 * Assigns each row to one column at the least total cost (the Hungarian method with potentials, O(n³)).
 *
 * @param costs - a square matrix, `costs[row][column]`
 * @returns the column of each row
 * @see https://doi.org/10.1002/nav.3800020109
 */
export function assignLeastCost(costs: ReadonlyArray<readonly number[]>): number[] {
	const size = costs.length;
	const rowPotential = new Float64Array(size + 1);
	const columnPotential = new Float64Array(size + 1);
	const rowOfColumn = new Int32Array(size + 1);
	const previous = new Int32Array(size + 1);
	for (let row = 1; row <= size; row++) {
		rowOfColumn[0] = row;
		let column = 0;
		const slack = new Float64Array(size + 1).fill(Number.POSITIVE_INFINITY);
		const isUsed = new Uint8Array(size + 1);
		do {
			isUsed[column] = 1;
			const currentRow = rowOfColumn[column];
			let delta = Number.POSITIVE_INFINITY;
			let nextColumn = 0;
			for (let other = 1; other <= size; other++) {
				if (isUsed[other] === 1) {
					continue;
				}

				const reduced = costs[currentRow - 1][other - 1] - rowPotential[currentRow] - columnPotential[other];
				if (reduced < slack[other]) {
					slack[other] = reduced;
					previous[other] = column;
				}

				if (slack[other] < delta) {
					delta = slack[other];
					nextColumn = other;
				}
			}

			for (let other = 0; other <= size; other++) {
				if (isUsed[other] === 1) {
					rowPotential[rowOfColumn[other]] += delta;
					columnPotential[other] -= delta;
				} else {
					slack[other] -= delta;
				}
			}

			column = nextColumn;
		} while (rowOfColumn[column] !== 0);

		do {
			const before = previous[column];
			rowOfColumn[column] = rowOfColumn[before];
			column = before;
		} while (column !== 0);
	}

	const columns = Array.from({length: size}, () => 0);
	for (let column = 1; column <= size; column++) {
		columns[rowOfColumn[column] - 1] = column - 1;
	}

	return columns;
}
