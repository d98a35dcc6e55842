import {Buffer} from 'node:buffer';
import {connect, createSecureContext} from 'node:tls';
import {LinkConnection} from './link-connection.js';
import {LinkError} from './link-error.js';
import {type LinkMeter} from './link-meter.js';
import {linkSecurity} from './link-security.js';

/* One TLS context is shared by all links: a context for each would cost far more than its socket. */
const secureContext = createSecureContext(linkSecurity.context);

type ConnectOptions = {
	readonly address: string;
	readonly port: number;
	/** Pre-shared key, hexadecimal. */
	readonly key: string;
	readonly maximumFrameBytes: number;
	/** Time-out of the TLS handshake, milliseconds. */
	readonly timeoutMs: number;
	readonly meter: LinkMeter;
};

/**
 * Opens a link to a process that listens with `listenForLinks`.
 *
 * @throws LinkError when the peer cannot be reached in time or has another key
 */
export async function connectLink(options: ConnectOptions): Promise<LinkConnection> {
	const psk = Buffer.from(options.key, 'hex');
	const socket = connect({
		secureContext,
		host: options.address,
		port: options.port,
		pskCallback: () => ({identity: linkSecurity.identity, psk}),
		checkServerIdentity: () => undefined,
	});
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			socket.destroy(new Error('the connection timed out'));
		}, options.timeoutMs);
		const fail = (error: Error) => {
			clearTimeout(timer);
			reject(new LinkError('socket', error.message));
		};

		socket.once('error', fail);
		socket.once('secureConnect', () => {
			clearTimeout(timer);
			socket.off('error', fail);
			resolve(new LinkConnection(socket, options.maximumFrameBytes, options.meter));
		});
	});
}
