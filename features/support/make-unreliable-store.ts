import {err} from 'neverthrow';
import {type ChangeFeed} from '../../src/key-value/change-feed.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type Registry} from '../../src/key-value/registry.js';

type NetworkBehaviour = {
	/** Called for each call. */
	readonly onCall: () => void;
	/** One way of a call and back, milliseconds. */
	readonly getRoundTripMs: () => number;
	/** Whether the answer of a call is lost, after it was carried out. */
	readonly isLost: () => boolean;
};

/** A store as a process reaches it: its calls take time, and some answers are lost. */
export function makeUnreliableStore(store: ChangeFeed & Registry, {onCall, getRoundTripMs: getMs, isLost}: NetworkBehaviour): ChangeFeed & Registry {
	const delay = async (ms: number): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, ms);
	});
	const wrap = <Words extends readonly unknown[], Answer>(call: (...words: Words) => Promise<Answer>) => async (...words: Words): Promise<Answer> => {
		onCall();
		await delay(getMs() / 2);
		const answer = await call(...words);
		const heard = isLost() ? err(new PlatformError('the answer is lost', 'unknown')) as Answer : answer;
		await delay(getMs() / 2);
		return heard;
	};

	return {
		list: wrap(store.list), poll: wrap(store.poll), get: wrap(store.get), commit: wrap(store.commit), grantLeaseFor: wrap(store.grantLeaseFor), keepLease: wrap(store.keepLease),
	};
}
