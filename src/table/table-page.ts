/** An immutable page of rows, addressed by the hash of its text. */
export type TablePage = {
	readonly hash: string;
	/** JSON array of rows. */
	readonly text: string;
};
