import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type TLSSocket} from 'node:tls';
import {encodeFrame} from '../../src/link/encode-frame.js';
import {FrameDecoder} from '../../src/link/frame-decoder.js';
import {type LinkMessage} from '../../src/link/link-message.js';
import {linkSecurity} from '../../src/link/link-security.js';

const maximumFrameBytes = 4 * 1024 * 1024;
const introduction: LinkMessage = {
	type: 'hello', protocol: 1, id: 'odd-peer', role: 'entry', availabilityZone: 'barre-hall', incarnation: '1', tableVersion: 0,
};

/** A peer's side of a link that sends anything, whether it is a message or not. */
export class RawLink {
	/** Opens a link and introduces the peer as an entry. */
	static async open(address: string, key: string, protocol: number): Promise<RawLink> {
		const [host, port] = address.split(':');
		const socket = connect({
			...linkSecurity.context,
			host,
			port: Number(port),
			pskCallback: () => ({identity: linkSecurity.identity, psk: Buffer.from(key, 'hex')}),
			checkServerIdentity: () => undefined,
		});
		await once(socket, 'secureConnect');
		const link = new RawLink(socket);
		link.send({...introduction, protocol});
		return link;
	}

	/** Messages received. */
	readonly received: unknown[] = [];
	private readonly decoder = new FrameDecoder(maximumFrameBytes);

	private constructor(private readonly socket: TLSSocket) {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			this.received.push(...this.decoder.push(chunk).map(({item}) => item));
		});
	}

	get isOpen(): boolean {
		return !this.socket.destroyed && this.socket.writable;
	}

	/** Sends a value as a frame, or bytes as they are. */
	send(message: unknown): void {
		this.socket.write(message instanceof Buffer ? message : encodeFrame(message as LinkMessage));
	}

	close(): void {
		this.socket.destroy();
	}
}
