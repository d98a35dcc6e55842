/** Atomic writes, applied only if every key in `conditions` still has the given revision (0: absent). */
export type Transaction = {
	readonly conditions: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: string}>;
	readonly deletes?: readonly string[];
};
