import {type Answer} from './answer.js';
import {dropHopHeaders} from './drop-hop-headers.js';
import {type ForwardExchange} from './forward-exchange.js';

const none: ReadonlySet<string> = new Set();

/** Writes a target's complete answer to the caller, unchanged except for hop-by-hop headers. */
export function relayBufferedAnswer(answer: Answer, exchange: ForwardExchange): void {
	const {response} = exchange;
	response.shouldKeepAlive &&= exchange.mayKeepAlive();
	const headers = dropHopHeaders(answer.headers, none);
	response.writeHead(answer.status, [...headers, 'content-length', String(answer.body.length)]);
	response.end(answer.body);
}
