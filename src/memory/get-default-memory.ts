import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';

/** Largest default, bytes. */
const maximumBytes = 64 * 1024 * 1024;
/** Share of the heap's limit: heads and requests are held in the heap. */
const heapShare = 0.4;
/** Share of the VM's memory, which also has to take the code, the heap, and garbage that is not collected yet. */
const vmShare = 0.18;

/** Returns the memory that callers may make a process hold unless the settings say otherwise, bytes. */
export function getDefaultMemory(): number {
	return Math.floor(Math.min(maximumBytes, heapShare * getHeapStatistics().heap_size_limit, vmShare * totalmem()));
}
