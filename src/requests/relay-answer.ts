import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Call} from '../calls/call.js';
import {type CallEvent} from '../calls/call-event.js';

type Head = Extract<CallEvent, {type: 'head'}>;

const writeChunk = async (response: ServerResponse, chunk: Uint8Array): Promise<void> => {
	if (!response.write(chunk) && !response.destroyed) {
		await Promise.race([once(response, 'drain'), once(response, 'close')]);
	}
};

const isEventStream = (response: ServerResponse): boolean => String(response.getHeader('content-type') ?? '').startsWith('text/event-stream');

/* What the caller has so far must not pass for a whole answer. */
const abortResponse = (response: ServerResponse, reason: string): void => {
	if (isEventStream(response) && !response.destroyed) {
		const problem = JSON.stringify({title: 'The answer broke off', detail: reason, outcome: 'unknown'});
		response.write(`event: error\ndata: ${problem}\n\n`, () => {
			response.destroy();
		});
	} else {
		response.destroy();
	}
};

/**
 * Writes an answer to the caller from its head to its end.
 *
 * @returns whether the answer went out whole; if not, it was broken off so that the caller sees it
 */
export async function relayAnswer(head: Head, call: Call, response: ServerResponse): Promise<boolean> {
	response.writeHead(head.status, head.headers);
	for (;;) {
		const event = await call.nextEvent();
		switch (event.type) {
			case 'data': {
				await writeChunk(response, event.chunk);
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
