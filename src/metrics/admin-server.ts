/** A running admin server. */
export type AdminServer = {
	/** HTTP port in use, also when port 0 was asked for. */
	readonly port: number;
	close(): void;
};
