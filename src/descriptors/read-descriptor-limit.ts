import {readFileSync} from 'node:fs';

/** Returns how many descriptors the system lets this process open; undefined if it does not say. The limit may change while the process runs. */
export function readDescriptorLimit(): number | undefined {
	try {
		const limit = /^Max open files +(?<soft>\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'))?.groups!.soft;
		return limit === undefined ? undefined : Number(limit);
	} catch {
		// Not a Linux system.
		return undefined;
	}
}
