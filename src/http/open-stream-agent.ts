import {type Socket} from 'node:net';
import {
	Agent, buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import {confirmEnd} from './confirm-end.js';
import {markReset} from './mark-reset.js';

const connect = buildConnector({});

/* Opens a client, which has one connection and one answer at a time. */
const openClient = (origin: string | URL, options: object): Client => {
	let socket: Socket;
	let answer: Dispatcher.DispatchController | undefined;
	const client = new Client(origin, {
		...options,
		connect(target, callback) {
			connect(target, (...result) => {
				const [, opened] = result;
				if (opened) {
					socket = opened;
					markReset(opened);
					// The HTTP client asserts that an answer without a length is not paused at its end.
					opened.on('end', () => {
						answer?.resume();
					});
				}

				callback(...result);
			});
		},
	});
	const {dispatch} = client.compose(send => (request, handler) => send(request, {
		onRequestStart(controller, context) {
			answer = controller;
			handler.onRequestStart?.(controller, context);
		},
		onResponseStart(...head) {
			handler.onResponseStart?.(...head);
		},
		onResponseData(controller, chunk) {
			// At its end, an answer that is resumed gets an empty part, which must not pause it again.
			if (chunk.length > 0) {
				handler.onResponseData?.(controller, chunk);
			}
		},
		onResponseEnd(controller, trailers) {
			answer = undefined;
			const end = (error?: Error): void => {
				if (error) {
					handler.onResponseError?.(controller, error);
				} else {
					handler.onResponseEnd?.(controller, trailers);
				}
			};

			// Only an answer without a length ends with its connection.
			if (socket.readableEnded) {
				confirmEnd(socket, end);
			} else {
				end();
			}
		},
		onResponseError(controller, error) {
			answer = undefined;
			handler.onResponseError?.(controller, error);
		},
	}));
	client.dispatch = dispatch;
	return client;
};

/**
 * Opens an agent for answers that are read as they arrive, of any length. One without a length that is cut by a reset
 * fails, and it may end while its reader is slow.
 *
 * @param connections - limit on the connections to each server
 */
export function openStreamAgent(connections: number): Dispatcher {
	return new Agent({
		connections,
		factory: (origin, options) => new Pool(origin, {...options, factory: openClient}),
	});
}
