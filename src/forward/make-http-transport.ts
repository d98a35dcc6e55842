import {checkListener} from './check-listener.js';
import {ConnectionPool} from './connection-pool.js';
import {type HeaderDialect} from './header-dialect.js';
import {TargetSender} from './target-sender.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type TransportOptions = {
	readonly dialect: HeaderDialect;
	/** The present time, milliseconds. */
	readonly clock: () => number;
	/** Returns the limit on open connections to targets at this time, milliseconds. */
	readonly getMaximumConnections: (now: number) => number;
};

/** Creates a transport that sends requests over HTTP, on pooled connections. */
export function makeHttpTransport({dialect, clock, getMaximumConnections}: TransportOptions, listener: TransportListener): TargetTransport {
	const pool = new ConnectionPool(clock, getMaximumConnections);
	const sender = new TargetSender({
		...listener, pool, dialect, clock,
	});
	return {
		send: async options => sender.send(options),
		check: checkListener,
		drop(target) {
			pool.drop(target);
		},
		retire(before) {
			pool.retire(before);
		},
		close() {
			pool.close();
		},
	};
}
