import {Agent, buildConnector, type Dispatcher} from 'undici';
import {markReset} from './mark-reset.js';

/**
 * Opens an agent for answers that are read as they arrive, of any length. One without a length that is cut by a reset
 * fails, and it may end while its reader is slow.
 *
 * @param connections - limit on the connections to each server
 */
export function openStreamAgent(connections: number): Dispatcher {
	const answers = new Set<Dispatcher.DispatchController>();
	const connect = buildConnector({});
	const agent = new Agent({
		connections,
		connect(options, callback) {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					markReset(socket);
					// The HTTP client asserts that an answer without a length is not paused at its end. Any other answer pauses again.
					socket.on('end', () => {
						for (const answer of answers) {
							answer.resume();
						}
					});
				}

				callback(...result);
			});
		},
	});
	return agent.compose(dispatch => (options, handler) => dispatch(options, {
		onRequestStart(controller, context) {
			answers.add(controller);
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
			answers.delete(controller);
			handler.onResponseEnd?.(controller, trailers);
		},
		onResponseError(controller, error) {
			answers.delete(controller);
			handler.onResponseError?.(controller, error);
		},
	}));
}
