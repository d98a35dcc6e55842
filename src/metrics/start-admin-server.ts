import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import polka from 'polka';
import {type Registry} from 'prom-client';
import {limitConnections} from '../http/limit-connections.js';
import {getLogger} from '../log/get-logger.js';
import {runGuarded} from '../log/run-guarded.js';
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

/** Open connections at most: those of probes, of metrics and of operators are few. */
const maximumConnections = 32;
/** Time in which a request must arrive, milliseconds. */
const requestTimeoutMs = 5000;

const logger = getLogger('admin');
const log = (message: string): void => {
	logger.error(message);
};

const sendDocument = (response: ServerResponse, status: number, document: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(document));
};

/* Undefined if the text is not valid percent-encoding. */
const decodeArgument = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

/** Starts an HTTP server for /metrics, /livez, the readiness probe and the given pages. */
export async function startAdminServer(options: AdminOptions): Promise<AdminServer> {
	const server = createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs});
	limitConnections(server, maximumConnections);
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
			const argument = decodeArgument(String(request.params.argument ?? ''));
			if (argument === undefined) {
				sendDocument(response, 400, {error: 'the path is not valid percent-encoding'});
				return;
			}

			const document = page(argument);
			sendDocument(response, document === undefined ? 404 : 200, document ?? {error: 'nothing known by that name'});
		};

		app.get(`/${name}`, serve);
		app.get(`/${name}/:argument`, serve);
	}

	server.on('request', (request, response) => {
		const sendError = (): void => {
			if (response.headersSent) {
				response.destroy();
			} else {
				sendDocument(response, 500, {error: 'internal error, see the log'});
			}
		};

		runGuarded(log, `${request.method} ${request.url}`, async () => {
			try {
				// Some handlers are asynchronous.
				await (app.handler as (...exchange: unknown[]) => unknown)(request, response);
			} catch (error) {
				sendError();
				throw error;
			}
		});
	});
	server.listen(options.port, options.address);
	await once(server, 'listening');
	server.on('error', error => {
		log(`server error: ${error.message}`);
	});
	return {
		port: (server.address() as AddressInfo).port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
