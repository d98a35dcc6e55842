import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import polka from 'polka';
import {type Registry} from 'prom-client';
import {type AdminPage} from './admin-page.js';
import {type AdminServer} from './admin-server.js';

type AdminOptions = {
	readonly address: string;
	readonly port: number;
	readonly registry: Registry;
	readonly isReady: () => boolean;
	/** Path of the readiness probe; `/readyz` by default. */
	readonly readyPath?: string;
	/** Pages by name, served as `/<name>` and `/<name>/<argument>`. */
	readonly pages: Readonly<Record<string, AdminPage>>;
};

/** Starts an HTTP server for /metrics, /livez, the readiness probe and the given pages. */
export async function startAdminServer(options: AdminOptions): Promise<AdminServer> {
	const server = createServer();
	const app = polka({server});
	app.get('/livez', (_request, response) => {
		response.end('ok\n');
	});
	app.get(options.readyPath ?? '/readyz', (_request, response) => {
		response.statusCode = options.isReady() ? 200 : 503;
		response.end(options.isReady() ? 'ok\n' : 'not ready\n');
	});
	app.get('/metrics', async (_request, response) => {
		response.setHeader('content-type', options.registry.contentType);
		response.end(await options.registry.metrics());
	});
	for (const [name, page] of Object.entries(options.pages)) {
		const serve: polka.Middleware = (request, response) => {
			const document = page(decodeURIComponent(String(request.params.argument ?? '')));
			response.statusCode = document === undefined ? 404 : 200;
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify(document ?? {error: 'nothing known by that name'}));
		};

		app.get(`/${name}`, serve);
		app.get(`/${name}/:argument`, serve);
	}

	server.on('request', app.handler);
	server.listen(options.port, options.address);
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
