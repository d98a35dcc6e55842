import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

const largeAnswer = 'y'.repeat(8_000_000);

const endlessPiece = 'y'.repeat(65_536);
const endlessEvents = 'id: 1\ndata: y\n\n'.repeat(4000);
/** Heads of answers without end, by the end of their path. */
const endlessHeads: Readonly<Record<string, Readonly<Record<string, string>>>> = {
	'endless-chunks': {},
	'endless-length': {'content-length': '1000000000000'},
	'endless-events': {'content-type': 'text/event-stream'},
};

/* Writes as fast as the other side reads, until the connection closes. */
const writeEndlessly = (response: ServerResponse, piece: string): void => {
	const write = (): void => {
		while (!response.destroyed && response.write(piece)) {
			// The next piece follows at once.
		}
	};

	response.on('drain', write);
	write();
};

/**
 * Starts the target of a crowd, with headers that its answers need: it answers at once, but below a path that ends with `hold` only when it is
 * released, with 8 MB below `large`, and without end below `endless-`.
 */
export async function startCrowdTarget(answerHeaders: Readonly<Record<string, string>> = {}) {
	const held = new Set<ServerResponse>();
	const arrivals = new EventTarget();
	const server = createServer((request, response) => {
		request.resume();
		request.once('end', () => {
			const id = request.headers['wardswitch-request-id'];
			const name = request.url!.split('/').at(-1)!;
			response.writeHead(200, {
				'content-type': 'application/json', ...answerHeaders, ...endlessHeads[name], ...(id !== undefined && {'wardswitch-request-id': id}),
			});
			if (endlessHeads[name]) {
				writeEndlessly(response, name === 'endless-events' ? endlessEvents : endlessPiece);
			} else if (name === 'hold') {
				held.add(response);
				arrivals.dispatchEvent(new Event('held'));
			} else {
				response.end(name === 'large' ? largeAnswer : '{}');
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
