import {err} from 'neverthrow';
import {type ChangeFeed} from '../../src/key-value/change-feed.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type Registry} from '../../src/key-value/registry.js';

type NetworkBehaviour = {
	/** Called for each call to the store. */
	readonly onCall: () => void;
	/** Round-trip time of a call, milliseconds. */
	readonly getRoundTripMs: () => number;
	/** Whether the answer of the current call is lost after its execution. */
	readonly isLost: () => boolean;
};

/** Wraps a store so that its calls take time and some answers are lost. */
export function makeUnreliableStore(store: ChangeFeed & Registry, {onCall, getRoundTripMs, isLost}: NetworkBehaviour): ChangeFeed & Registry {
	const delay = async (ms: number): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, ms);
	});
	const wrap = <CallParameters extends readonly unknown[], Answer>(call: (...parameters: CallParameters) => Promise<Answer>) => async (...parameters: CallParameters): Promise<Answer> => {
		onCall();
		await delay(getRoundTripMs() / 2);
		const answer = await call(...parameters);
		const received = isLost() ? err(new PlatformError('the answer is lost', 'unknown')) as Answer : answer;
		await delay(getRoundTripMs() / 2);
		return received;
	};

	return {
		list: wrap(store.list), poll: wrap(store.poll), get: wrap(store.get), commit: wrap(store.commit), grantLeaseFor: wrap(store.grantLeaseFor), keepLease: wrap(store.keepLease),
	};
}
