/**
 * Returns the load of each rank in one layer; an expert's load splits evenly over its replicas.
 *
 * @param ranks - expert ids on each rank
 * @param loads - tokens of each expert
 */
export function getRankLoads(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[]): number[] {
	const counts = new Int32Array(loads.length);
	for (const experts of ranks) {
		for (const expert of experts) {
			counts[expert]++;
		}
	}

	return ranks.map(experts => {
		let load = 0;
		for (const expert of experts) {
			load += loads[expert] / counts[expert];
		}

		return load;
	});
}
