import {err} from 'neverthrow';
import {readBody} from '../../callers/read-body.js';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {type ForwardExchange} from '../forward-exchange.js';

type ReadFilterOptions = {
	readonly getTable: () => RouteTable | undefined;
	/** Largest body for which there can be memory, bytes. */
	readonly maximumHeldBytes: number;
	/** The present time, milliseconds; the request's deadline is on the same clock. */
	readonly clock: () => number;
};

/** Creates the filter that buffers a request's body, so that it can be sent again, up to the configured size and until the deadline. */
export function makeReadFilter({getTable, maximumHeldBytes, clock}: ReadFilterOptions): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const maximumBytes = Math.min(maximumHeldBytes, getTable()?.configuration.limits.maximumBodyBytes ?? 0);
		const body = await readBody(exchange, {maximumBytes, deadline: exchange.deadline, clock});
		if (body.isErr()) {
			return err(body.error);
		}

		exchange.body = body.value;
		return next();
	};
}
