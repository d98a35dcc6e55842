import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createServer, type TLSSocket} from 'node:tls';
import {limitConnections} from '../http/limit-connections.js';
import {LinkConnection} from './link-connection.js';
import {type LinkListener} from './link-listener.js';
import {type LinkMeter} from './link-meter.js';
import {linkSecurity} from './link-security.js';

type ListenOptions = {
	readonly address: string;
	readonly port: number;
	/** Pre-shared key, hexadecimal. */
	readonly key: string;
	readonly maximumFrameBytes: number;
	readonly meter: LinkMeter;
	readonly onConnection: (connection: LinkConnection) => void;
	/** Called with the reason when a peer's TLS handshake fails, when a link is closed because of a message, or when the server's socket fails. */
	readonly onRejection: (reason: string) => void;
};

/** Time in which a peer must complete its TLS handshake, milliseconds; peers themselves wait less. */
const handshakeTimeoutMs = 5000;
/** Handshakes that may be under way at once, and take descriptors and memory before the peer has shown that it has the key. */
const maximumHandshakes = 64;

/** Listens for links. A peer without the key fails the TLS handshake, so that none of its messages is read. */
export async function listenForLinks(options: ListenOptions): Promise<LinkListener> {
	const key = Buffer.from(options.key, 'hex');
	const connections = new Set<LinkConnection>();
	const server = createServer({
		...linkSecurity.context,
		handshakeTimeout: handshakeTimeoutMs,
		pskCallback: (_socket: TLSSocket, identity: string) => identity === linkSecurity.identity ? key : null,
	}, socket => {
		const connection = new LinkConnection(socket, options.maximumFrameBytes, options.meter);
		connections.add(connection);
		connection.onClose(error => {
			connections.delete(connection);
			// A lost socket is part of a link's life; anything else is a fault of a message or of its handling.
			if (error !== undefined && error.reason !== 'socket') {
				options.onRejection(error.message);
			}
		});
		options.onConnection(connection);
	});
	limitConnections(server, maximumHandshakes);
	server.on('tlsClientError', error => {
		options.onRejection(error.message);
	});
	server.listen(options.port, options.address);
	await once(server, 'listening');
	server.on('error', (error: Error) => {
		options.onRejection(error.message);
	});
	return {
		port: (server.address() as AddressInfo).port,
		connections,
		async drain(timeoutMs) {
			server.close();
			const closed = [...connections].map(async connection => new Promise<void>(resolve => {
				connection.onClose(() => {
					resolve();
				});
				connection.close();
			}));
			await Promise.race([Promise.all(closed), delay(timeoutMs, undefined, {ref: false})]);
			for (const connection of connections) {
				connection.destroy();
			}
		},
		async close() {
			server.close();
			for (const connection of connections) {
				connection.destroy();
			}

			await Promise.resolve();
		},
	};
}
