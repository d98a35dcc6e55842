import {createHash} from 'node:crypto';
import {err} from 'neverthrow';
import {type TableSnapshot} from '../../table/table-snapshot.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

const scheme = /^bearer (?<token>\S+)$/iv;

/** Finds the organisation by the SHA-256 hash of the bearer token; the table holds no tokens, only their hashes. */
export function makeAuthenticationFilter(getTable: () => TableSnapshot | undefined): Filter {
	return async (exchange, next) => {
		const token = scheme.exec(exchange.headers.authorization ?? '')?.groups?.token;
		const hash = createHash('sha256').update(token ?? '').digest('hex');
		const organisation = token === undefined ? undefined : getTable()?.findOrganisation(hash);
		if (organisation === undefined) {
			return err(new Problem({
				status: 401, title: 'Token missing or unknown', detail: 'expected a bearer token that the table knows', outcome: 'not-run',
			}));
		}

		exchange.organisation = organisation;
		return next();
	};
}
