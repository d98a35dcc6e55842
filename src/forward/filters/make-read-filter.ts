import {Buffer} from 'node:buffer';
import {err} from 'neverthrow';
import {type RouteTable} from '../../fleet/route-table.js';
import {type Filter} from '../../requests/filter.js';
import {Problem} from '../../requests/problem.js';
import {type ForwardExchange} from '../forward-exchange.js';

/** Creates the filter that buffers a request's body, so that it can be sent again, up to the configured size. */
export function makeReadFilter(getTable: () => RouteTable | undefined): Filter<ForwardExchange> {
	return async (exchange, next) => {
		const maximumBytes = getTable()?.configuration.limits.maximumBodyBytes ?? 0;
		const chunks: Buffer[] = [];
		let bytes = 0;
		try {
			for await (const chunk of exchange.incoming) {
				chunks.push(chunk as Buffer);
				bytes += (chunk as Buffer).length;
				if (bytes > maximumBytes) {
					return err(new Problem({
						status: 413, title: 'Body too large', detail: `at most ${maximumBytes} bytes are accepted`, outcome: 'not-run',
					}));
				}
			}
		} catch (error) {
			return err(new Problem({
				status: 400, title: 'Bad request', detail: `the body broke off: ${(error as Error).message}`, outcome: 'not-run',
			}));
		}

		exchange.body = new Uint8Array(Buffer.concat(chunks));
		return next();
	};
}
