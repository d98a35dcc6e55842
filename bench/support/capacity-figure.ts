/** One measured figure: the middle of three runs and its spread. */
export type CapacityFigure = {
	readonly name: string;
	readonly median: number;
	readonly least: number;
	readonly greatest: number;
};
