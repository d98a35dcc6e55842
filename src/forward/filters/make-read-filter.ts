import {err} from 'neverthrow';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {Problem} from '../../requests/problem.js';
import {type ForwardExchange} from '../forward-exchange.js';
import {readBody} from '../read-body.js';
import {runAt} from '../run-at.js';

type ReadFilterOptions = {
	readonly getTable: () => RouteTable | undefined;
	/** The present time, milliseconds; the request's deadline is on the same clock. */
	readonly clock: () => number;
};

/** Creates the filter that buffers a request's body, so that it can be sent again, up to the configured size and until the deadline. */
export function makeReadFilter({getTable, clock}: ReadFilterOptions): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const maximumBytes = getTable()?.configuration.limits.maximumBodyBytes ?? 0;
		const lateness = new AbortController();
		const cancel = runAt(exchange.deadline, clock, () => {
			lateness.abort(new Problem({
				status: 408, title: 'Body too late', detail: 'the body had not arrived at the deadline', outcome: 'not-run',
			}));
		});
		const body = await readBody(exchange.incoming, {maximumBytes, signal: AbortSignal.any([lateness.signal, exchange.inputFailure])});
		cancel();
		if (body.isErr()) {
			return err(body.error);
		}

		exchange.body = body.value;
		return next();
	};
}
