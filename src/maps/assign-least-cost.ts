/**
 * Assigns each row to one column at the least total cost (the Hungarian method with potentials, O(n³)).
 *
 * @param costs - a square matrix, `costs[row][column]`
 * @returns the column of each row
 * @see https://doi.org/10.1002/nav.3800020109
 */
export function assignLeastCost(costs: ReadonlyArray<readonly number[]>): number[] {
	const size = costs.length;
	const rowPotential = new Array<number>(size + 1).fill(0);
	const columnPotential = new Array<number>(size + 1).fill(0);
	const rowOfColumn = new Array<number>(size + 1).fill(0);
	const previous = new Array<number>(size + 1).fill(0);
	for (let row = 1; row <= size; row++) {
		rowOfColumn[0] = row;
		let column = 0;
		const slack = new Array<number>(size + 1).fill(Number.POSITIVE_INFINITY);
		const isUsed = new Array<boolean>(size + 1).fill(false);
		do {
			isUsed[column] = true;
			const currentRow = rowOfColumn[column];
			let delta = Number.POSITIVE_INFINITY;
			let nextColumn = 0;
			for (let other = 1; other <= size; other++) {
				if (isUsed[other]) {
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
				if (isUsed[other]) {
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

	const columns = new Array<number>(size).fill(0);
	for (let column = 1; column <= size; column++) {
		columns[rowOfColumn[column] - 1] = column - 1;
	}

	return columns;
}
