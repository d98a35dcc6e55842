import {type Registry} from '../key-value/registry.js';
import {type CrashDetector} from './crash-detector.js';
import {CrashRecords} from './crash-records.js';

type RecordsContext = {readonly registry: Registry; readonly log: (message: string) => void};

/** Prefixes of the keys in the store: of requests by fingerprint, and of parts of prompts by crashed incarnation. */
const requestsPrefix = 'wardswitch/crashes/';
const partsPrefix = 'wardswitch/crashing-parts/';

/** Creates the records in the store of the requests and of the parts of prompts that crash targets. */
export function makeCrashRecords(crashes: CrashDetector, context: RecordsContext): readonly CrashRecords[] {
	const isElected = (subject: string, now: number): boolean => crashes.isElected(subject, now);
	return [
		new CrashRecords({
			...context, prefix: requestsPrefix, suspects: crashes.suspects, isElected,
		}),
		new CrashRecords({
			...context, prefix: partsPrefix, suspects: crashes.parts, isElected,
		}),
	];
}
