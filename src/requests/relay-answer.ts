import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {cutAnswer} from '../callers/cut-answer.js';
import {type Call} from '../calls/call.js';
import {type CallEvent} from '../calls/call-event.js';
import {type Exchange} from './exchange.js';

type Head = Extract<CallEvent, {type: 'head'}>;

const writeChunk = async (response: ServerResponse, chunk: Uint8Array): Promise<void> => {
	if (response.write(chunk) || response.destroyed) {
		return;
	}

	// The listener for the event that does not come would stay until the end of the answer, which may have none.
	const waiting = new AbortController();
	try {
		await Promise.race([once(response, 'drain', waiting), once(response, 'close', waiting)]);
	} finally {
		waiting.abort();
	}
};

const isEventStream = (response: ServerResponse): boolean => String(response.getHeader('content-type') ?? '').startsWith('text/event-stream');

/* Closes the connection, after an error event on event streams, so that the caller cannot take the answer for complete. */
const abortResponse = (response: ServerResponse, reason: string): void => {
	if (isEventStream(response) && !response.destroyed) {
		const problem = JSON.stringify({title: 'The answer broke off', detail: reason, outcome: 'unknown'});
		response.write(`event: error\ndata: ${problem}\n\n`, () => {
			response.destroy();
		});
	} else {
		cutAnswer(response);
	}
};

/**
 * Relays an answer to the caller, from its head to its end.
 *
 * @returns whether the answer was relayed completely; if not, the response was aborted
 */
export async function relayAnswer(head: Head, call: Call, exchange: Exchange): Promise<boolean> {
	const {response} = exchange;
	exchange.prepareHead();
	response.writeHead(head.status, head.headers);
	for (;;) {
		const event = await call.nextEvent();
		switch (event.type) {
			case 'data': {
				await writeChunk(response, event.chunk);
				exchange.memory.grow('answer', -event.chunk.length);
				break;
			}

			case 'end': {
				response.end();
				return true;
			}

			default: {
				abortResponse(response, 'reason' in event ? event.reason : event.type);
				return false;
			}
		}
	}
}
