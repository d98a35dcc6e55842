import {err} from 'neverthrow';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {type ForwardExchange} from '../forward-exchange.js';
import {readBody} from '../read-body.js';

/** Creates the filter that buffers a request's body, so that it can be sent again, up to the configured size. */
export function makeReadFilter(getTable: () => RouteTable | undefined): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const maximumBytes = getTable()?.configuration.limits.maximumBodyBytes ?? 0;
		const body = await readBody(exchange.incoming, {maximumBytes, signal: exchange.inputFailure});
		if (body.isErr()) {
			return err(body.error);
		}

		exchange.body = body.value;
		return next();
	};
}
