import {ok} from 'neverthrow';
import {type RunGuard} from './run-guard.js';

/** The guard of a request that has no key: it may run again only if the caller said so. */
export function makeFreeGuard(isRepeatable: boolean): RunGuard {
	return {
		isRepeatable,
		target: undefined,
		admit: async () => ok({kind: 'run', once: undefined}),
		adopt() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		doubt() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		abandon: async () => undefined,
	};
}
