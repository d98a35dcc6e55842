/** One measured figure: median, least and greatest value of three runs. */
export type CapacityFigure = {
	readonly name: string;
	readonly median: number;
	readonly least: number;
	readonly greatest: number;
};
