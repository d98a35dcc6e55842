import {err} from 'neverthrow';
import {type LimitController} from '../../limits/limit-controller.js';
import {type LimitDemand} from '../../limits/limit-demand.js';
import {type Exchange} from '../exchange.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

/** Enforces the limits of the organisation's row on requests, tokens and concurrency; what is held is released when the request ends. */
export function makeLimitFilter(limits: LimitController): Filter {
	return async (exchange, next) => {
		const demands = listDemands(exchange);
		if (demands.length === 0) {
			return next();
		}

		const acquired = await exchange.trace('limits', async () => limits.acquire(demands));
		if (acquired.isErr()) {
			exchange.noteDecision(acquired.error.message);
			return err(new Problem({
				status: 429,
				title: 'Limit reached',
				detail: `${acquired.error.message} of ${exchange.organisation} at ${exchange.service}`,
				outcome: 'not-run',
				retryAfterMs: acquired.error.retryAfterMs,
			}));
		}

		try {
			return await next();
		} finally {
			acquired.value();
		}
	};
}

function listDemands({row, service, organisation, tokens}: Exchange): LimitDemand[] {
	const amounts = {requestsPerSecond: 1, concurrency: 1, tokensPerSecond: tokens} as const;
	const kinds = ['requestsPerSecond', 'tokensPerSecond', 'concurrency'] as const;
	return kinds.flatMap(kind => {
		const value = row?.[kind];
		const isLimited = value !== undefined && amounts[kind] > 0;
		return isLimited
			? [{
				name: `${kind}/${service}/${organisation}`, kind, value, amount: amounts[kind],
			}]
			: [];
	});
}
