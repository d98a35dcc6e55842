import {ok} from 'neverthrow';
import {type RunGuard} from './run-guard.js';

/** Guard of a request without an idempotency key: it may run again only if the caller declared it repeatable. */
export function makeUnkeyedGuard(isRepeatable: boolean): RunGuard {
	return {
		isRepeatable,
		target: undefined,
		admit: async () => ok({kind: 'run', once: undefined}),
		takeOver() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		noteOwnershipRefused() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		abandon: async () => undefined,
	};
}
