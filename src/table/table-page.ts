/** An immutable page of rows; `hash` is the name that its text gives it. */
export type TablePage = {
	readonly hash: string;
	/** JSON array of rows. */
	readonly text: string;
};
