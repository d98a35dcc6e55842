import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

const largeAnswer = 'y'.repeat(8_000_000);

/** Starts the target of a crowd, with headers that its answers need: it answers at once, but below a path that ends with `hold` only when it is released, and with 8 MB below `large`. */
export async function startCrowdTarget(answerHeaders: Readonly<Record<string, string>> = {}) {
	const held = new Set<ServerResponse>();
	const arrivals = new EventTarget();
	const server = createServer((request, response) => {
		request.resume();
		request.once('end', () => {
			const id = request.headers['wardswitch-request-id'];
			response.writeHead(200, {'content-type': 'application/json', ...answerHeaders, ...(id !== undefined && {'wardswitch-request-id': id})});
			if (request.url!.endsWith('hold')) {
				held.add(response);
				arrivals.dispatchEvent(new Event('held'));
			} else {
				response.end(request.url!.endsWith('large') ? largeAnswer : '{}');
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		/** Resolves when a request waits. */
		async untilHeld() {
			if (held.size === 0) {
				await once(arrivals, 'held');
			}
		},
		release() {
			for (const response of held) {
				response.end('{}');
			}

			held.clear();
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
