/** Removal of a key from the key-value service. */
export type RemovedKey = {
	readonly key: string;
	/** Revision at which it was removed. */
	readonly revision: number;
	readonly isRemoved: true;
};
