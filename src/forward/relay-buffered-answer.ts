import {type Answer} from './answer.js';
import {dropHopHeaders} from './drop-hop-headers.js';
import {type ForwardExchange} from './forward-exchange.js';

const none: ReadonlySet<string> = new Set();

/** Writes a target's complete answer to the caller, unchanged except for hop-by-hop headers. */
export function relayBufferedAnswer(answer: Answer, exchange: ForwardExchange): void {
	const {response} = exchange;
	response.shouldKeepAlive &&= exchange.mayKeepAlive();
	const headers = dropHopHeaders(answer.headers, none);
	const length = answer.body.reduce((sum, chunk) => sum + chunk.length, 0);
	response.writeHead(answer.status, [...headers, 'content-length', String(length)]);
	for (const chunk of answer.body.slice(0, -1)) {
		response.write(chunk);
	}

	response.end(answer.body.at(-1));
}
