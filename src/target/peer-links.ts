import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {linkProtocolVersion} from '../link/link-protocol-version.js';
import {type MessageOf} from '../link/message-of.js';

type Send = (message: LinkMessage) => boolean;
type Peer = {readonly id: string; readonly incarnation: string};

type LinksOptions = {
	/** What this process says of itself to one that connects. */
	readonly welcome: () => MessageOf<'welcome'>;
	/** Called with the table version that a peer names in its hello. */
	readonly onTableVersion: (version: number) => void;
	readonly onMessage: (message: LinkMessage, send: Send) => void;
	readonly onLost: (send: Send) => void;
	readonly warn: (message: string) => void;
};

/** The links that entries, operators and ranks have opened to a target process. */
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

	/** Takes a new connection; nothing is heard on it before its hello. */
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
			this.options.warn(`${hello.id} speaks another version of the protocol`);
			connection.destroy();
			return;
		}

		this.closeOlderLinks(hello);
		this.peers.set(connection, {id: hello.id, incarnation: hello.incarnation});
		this.options.onTableVersion(hello.tableVersion);
		connection.send(this.options.welcome());
	}

	/* What an older connection of the same process still holds must not arrive after what it says on this one. */
	private closeOlderLinks(hello: MessageOf<'hello'>): void {
		for (const [connection, peer] of this.peers) {
			if (peer.id === hello.id && peer.incarnation === hello.incarnation) {
				connection.destroy();
			}
		}
	}
}
