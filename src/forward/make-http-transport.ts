import {AnswerBudget} from './answer-budget.js';
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
};

/** Creates a transport that sends requests over HTTP, on pooled connections. */
export function makeHttpTransport({dialect, clock}: TransportOptions, listener: TransportListener): TargetTransport {
	const pool = new ConnectionPool(clock);
	const sender = new TargetSender({
		...listener, pool, budget: new AnswerBudget(), dialect, clock,
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
