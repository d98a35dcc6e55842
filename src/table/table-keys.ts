/** Keys under which the table is stored in the key-value service. */
export const tableKeys = {
	head: 'wardswitch/table/head',
	page: (hash: string): string => `wardswitch/table/pages/${hash}`,
	/** Padded, so that keys sort by version. */
	history: (version: number): string => `wardswitch/table/history/${String(version).padStart(10, '0')}`,
	historyPrefix: 'wardswitch/table/history/',
} as const;
