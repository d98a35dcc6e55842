import {err, type Result} from 'neverthrow';
import {type PlatformError} from './platform-error.js';
import {type Registry} from './registry.js';
import {type Revision} from './revision.js';

type Replacement = {
	readonly key: string;
	/** The new value and the lease that it is attached to; undefined to delete the key. */
	readonly put: {readonly value: string; readonly lease: string} | undefined;
};

/**
 * Writes or deletes a key on condition that nothing else is written to it meanwhile: a write without an answer may be carried out
 * seconds later, and must not replace what was written since.
 *
 * @returns the new revision; undefined if the key has changed meanwhile
 */
export async function replaceKey(registry: Pick<Registry, 'get' | 'commit'>, {key, put}: Replacement): Promise<Result<Revision | undefined, PlatformError>> {
	const stored = await registry.get(key);
	if (stored.isErr()) {
		return err(stored.error);
	}

	return registry.commit({
		conditions: [{key, revision: stored.value?.revision ?? 0}],
		puts: put ? [{key, ...put}] : [],
		deletes: put ? [] : [key],
	});
}
