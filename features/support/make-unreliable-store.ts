import {err, type Result} from 'neverthrow';
import {type ChangeFeed} from '../../src/key-value/change-feed.js';
import {PlatformError} from '../../src/key-value/platform-error.js';
import {type Registry} from '../../src/key-value/registry.js';
import {type SimulatedConnections} from './simulated-connections.js';

type NetworkBehaviour = {
	readonly connections: SimulatedConnections;
	/** Called for each call to the store. */
	readonly onCall: () => void;
	/** Round-trip time of a call, milliseconds. */
	readonly getRoundTripMs: () => number;
	/** Whether the answer of the current call is lost after its execution. */
	readonly isLost: () => boolean;
	/** Whether the store refuses the current call. */
	readonly isRefused: () => boolean;
};

/** Timeout of a call, milliseconds, beyond the time that it waits for changes; as in the adapter's client. */
const callTimeoutMs = 900;
const waitMarginMs = 700;

const delay = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});
const never = async <Answer>(): Promise<Answer> => new Promise<Answer>(() => {
	// Never resolved: the timeout ends the call.
});

/** Wraps a store so that its calls take time on connections that may go silent, and some are refused or lose their answer. */
export function makeUnreliableStore(store: ChangeFeed & Registry, behaviour: NetworkBehaviour): ChangeFeed & Registry {
	const {connections, onCall, getRoundTripMs, isLost, isRefused} = behaviour;
	const run = async <Answer>(connection: ReturnType<SimulatedConnections['take']>, call: () => Promise<Answer>): Promise<Answer> => {
		await delay(getRoundTripMs() / 2);
		if (connection.isSilent) {
			return never();
		}

		const answer = isRefused() ? err(new PlatformError('status 503', 'no')) as Answer : await call();
		const received = isLost() ? err(new PlatformError('the answer is lost', 'unknown')) as Answer : answer;
		await delay(getRoundTripMs() / 2);
		return connection.isSilent ? never() : received;
	};

	const wrap = <CallParameters extends readonly unknown[], Value>(
		call: (...parameters: CallParameters) => Promise<Result<Value, PlatformError>>,
		getTimeoutMs: (...parameters: CallParameters) => number,
	) => async (...parameters: CallParameters): Promise<Result<Value, PlatformError>> => {
		onCall();
		const connection = connections.take();
		const timeout = delay(getTimeoutMs(...parameters));
		const answer = await Promise.race([run(connection, async () => call(...parameters)), timeout]);
		if (answer === undefined) {
			connections.renew();
			return err(new PlatformError('the call timed out', 'unknown'));
		}

		connections.release(connection);
		return answer;
	};

	const getCallTimeoutMs = (): number => callTimeoutMs;
	return {
		list: wrap(store.list, getCallTimeoutMs),
		poll: wrap(store.poll, (_prefix, _after, waitMs) => waitMs + waitMarginMs),
		reconnect() {
			connections.renew();
		},
		get: wrap(store.get, getCallTimeoutMs),
		commit: wrap(store.commit, getCallTimeoutMs),
		grantLeaseFor: wrap(store.grantLeaseFor, getCallTimeoutMs),
		keepLease: wrap(store.keepLease, getCallTimeoutMs),
	};
}
