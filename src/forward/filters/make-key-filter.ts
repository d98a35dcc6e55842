import {err} from 'neverthrow';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {Problem} from '../../requests/problem.js';
import {type ForwardExchange} from '../forward-exchange.js';

const bearer = /^bearer +(?<key>\S+) *$/iv;

/** Creates the filter that finds a request's organisation by its key, and refuses unknown keys on routes that are not public. */
export function makeKeyFilter(getTable: () => RouteTable | undefined): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const table = getTable();
		if (!table?.needsKeys) {
			return next();
		}

		const key = bearer.exec(exchange.incoming.headers.authorization ?? '')?.groups?.key;
		exchange.organisation = key === undefined ? undefined : table.findOrganisation(key);
		if (exchange.organisation === undefined && !exchange.route!.isPublic) {
			return err(new Problem({
				status: 401, title: 'Unknown key', detail: 'Authorization: expected "Bearer" and a key in force', outcome: 'not-run',
			}));
		}

		return next();
	};
}
