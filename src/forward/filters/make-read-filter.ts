import {err} from 'neverthrow';
import {readBody} from '../../callers/read-body.js';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {type ForwardExchange} from '../forward-exchange.js';
import {type StopAdmission} from '../stop-admission.js';

type ReadFilterOptions = {
	readonly getTable: () => RouteTable | undefined;
	/** Largest body for which there can be memory, bytes. */
	readonly maximumHeldBytes: number;
	/** The present time, milliseconds; the request's deadline is on the same clock. */
	readonly clock: () => number;
	readonly stops: StopAdmission;
};

/**
 * Creates the filter that buffers a request's body, so that it can be sent again, up to the configured size and until the deadline, or until
 * the process stops too soon for an answer.
 */
export function makeReadFilter({getTable, maximumHeldBytes, clock, stops}: ReadFilterOptions): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const refusal = stops.refuse(exchange, clock());
		if (refusal) {
			return err(refusal);
		}

		const maximumBytes = Math.min(maximumHeldBytes, getTable()?.configuration.limits.maximumBodyBytes ?? 0);
		const body = await readBody(exchange, {
			maximumBytes, deadline: exchange.deadline, clock, watch: refuse => stops.watch(exchange, refuse),
		});
		if (body.isErr()) {
			return err(body.error);
		}

		exchange.body = body.value;
		return next();
	};
}
