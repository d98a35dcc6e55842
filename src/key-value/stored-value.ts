/** A value in the key-value service. `revision` grows with each change of the key; conditional writes use it to fence off earlier writers. */
export type StoredValue = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};
