import {type Problem} from '../requests/problem.js';
import {type ForwardExchange} from './forward-exchange.js';

const formatRetryAfter = (ms: number): string => (ms / 1000).toFixed(3);

/** Answers a request with the problem that ended it. */
export function sendProblem({response, incoming, mayKeepAlive}: ForwardExchange, {options}: Problem): void {
	// After an unread body the connection is closed: the rest of the body must not be parsed as a request.
	response.shouldKeepAlive &&= mayKeepAlive() && incoming.complete;
	if (options.retryAfterMs !== undefined && options.retryAfterMs > 0) {
		response.setHeader('retry-after', formatRetryAfter(options.retryAfterMs));
	}

	response.writeHead(options.status, {'content-type': 'application/problem+json'});
	response.end(JSON.stringify({
		type: 'about:blank', title: options.title, status: options.status, detail: options.detail, outcome: options.outcome,
	}));
}
