import {type ServerResponse} from 'node:http';
import {type Problem} from './problem.js';

/** Writes a problem as RFC 9457 problem details, with `Retry-After` in whole seconds; `id` is the request's. */
export function writeProblem(problem: Problem, id: string, response: ServerResponse): void {
	const {
		status, title, detail, outcome, retryAfterMs, keyState,
	} = problem.options;
	if (retryAfterMs !== undefined) {
		response.setHeader('retry-after', Math.ceil(retryAfterMs / 1000));
	}

	response.writeHead(status, {'content-type': 'application/problem+json', 'wardswitch-request-id': id});
	response.end(JSON.stringify({
		type: 'about:blank', title, status, detail, outcome, keyState, instance: `urn:uuid:${id}`,
	}));
}
