/** Resource usage of a process, from its metrics; counters are totals since its start. */
export type ProcessUsage = {
	readonly residentBytes: number;
	readonly heapBytes: number;
	/** Memory of buffers outside the V8 heap. */
	readonly externalBytes: number;
	readonly cpuSeconds: number;
	readonly controlCpuSeconds: number;
	readonly controlBytes: number;
	readonly platformCalls: number;
};
