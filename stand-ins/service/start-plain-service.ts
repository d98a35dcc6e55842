import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type PlainService} from './plain-service.js';

/** Starts a stand-in of a plain HTTP service on loopback that echoes each request. */
export async function startPlainService(port = 0): Promise<PlainService> {
	const runs = new Map<string, number>();
	const held: Array<() => void> = [];
	const server = createServer((request, response) => {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => chunks.push(chunk));
		request.on('end', () => {
			const id = String(request.headers['x-request-id'] ?? '');
			runs.set(id, (runs.get(id) ?? 0) + 1);
			service.totalRequests++;
			const answer = () => {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify({
					method: request.method, path: request.url, body: Buffer.concat(chunks).toString(), run: service.totalRequests,
				}));
			};

			if (service.isHoldingAnswers) {
				held.push(answer);
			} else {
				answer();
			}
		});
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	const service: PlainService = {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		runs,
		totalRequests: 0,
		isHoldingAnswers: false,
		releaseAnswers() {
			service.isHoldingAnswers = false;
			for (const answer of held.splice(0)) {
				answer();
			}
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await Promise.resolve();
		},
	};
	return service;
}
