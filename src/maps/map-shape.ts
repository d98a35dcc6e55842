/** Sizes that stay the same while a group runs. */
export type MapShape = {
	readonly layers: number;
	readonly experts: number;
	readonly ranks: number;
	/** Slots per rank and layer. */
	readonly slots: number;
};
