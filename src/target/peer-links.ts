import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {linkProtocolVersion} from '../link/link-protocol-version.js';
import {type MessageOf} from '../link/message-of.js';

type Send = (message: LinkMessage) => boolean;
type Peer = {readonly id: string; readonly incarnation: string};

type LinksOptions = {
	/** Makes the reply to a peer's hello. */
	readonly welcome: () => MessageOf<'welcome'>;
	/** Called with the table version in a peer's hello. */
	readonly onTableVersion: (version: number) => void;
	readonly onMessage: (message: LinkMessage, send: Send) => void;
	readonly onLost: (send: Send) => void;
	readonly warn: (message: string) => void;
};

/** The links that entries, operators and other ranks have opened to a target process. */
export class PeerLinks {
	private readonly peers = new Map<LinkConnection, Peer>();

	constructor(private readonly options: LinksOptions) {}

	get size(): number {
		return this.peers.size;
	}

	/** Sends a message on every link. */
	broadcast(message: LinkMessage): void {
		for (const connection of this.peers.keys()) {
			connection.send(message);
		}
	}

	/** Takes over a new connection; one that sends any message before its hello is closed. */
	accept(connection: LinkConnection): void {
		const send: Send = message => connection.send(message);
		connection.onMessage(message => {
			if (message.type === 'hello') {
				this.handleHello(message, connection);
			} else if (this.peers.has(connection)) {
				this.options.onMessage(message, send);
			} else {
				connection.destroy();
			}
		});
		connection.onClose(error => {
			if (error) {
				this.options.warn(`link lost: ${error.message}`);
			}

			this.peers.delete(connection);
			this.options.onLost(send);
		});
	}

	private handleHello(hello: MessageOf<'hello'>, connection: LinkConnection): void {
		if (hello.protocol !== linkProtocolVersion) {
			this.options.warn(`${hello.id} uses an unsupported version of the link protocol; link closed`);
			connection.destroy();
			return;
		}

		this.closeOlderLinks(hello);
		this.peers.set(connection, {id: hello.id, incarnation: hello.incarnation});
		this.options.onTableVersion(hello.tableVersion);
		connection.send(this.options.welcome());
	}

	/* Messages still in flight on an older connection of the same process must not arrive after newer ones on this connection. */
	private closeOlderLinks(hello: MessageOf<'hello'>): void {
		for (const [connection, peer] of this.peers) {
			if (peer.id === hello.id && peer.incarnation === hello.incarnation) {
				connection.destroy();
			}
		}
	}
}
