/** What a process has used, from its own metrics. */
export type ProcessUsage = {
	readonly residentBytes: number;
	readonly heapBytes: number;
	/** Memory of buffers outside the heap. */
	readonly externalBytes: number;
	readonly cpuSeconds: number;
	readonly controlCpuSeconds: number;
	readonly controlBytes: number;
	readonly platformCalls: number;
};
