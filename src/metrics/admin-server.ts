/** A running admin server. */
export type AdminServer = {
	/** HTTP port that the server listens on, also when port 0 was requested. */
	readonly port: number;
	close(): void;
};
