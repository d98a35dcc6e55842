import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {PersistentLink} from '../link/persistent-link.js';
import {type Vm} from '../vm-list/vm.js';

type PoolOptions = {
	readonly connect: (vm: Vm) => Promise<LinkConnection>;
	readonly hello: () => LinkMessage;
	readonly onMessage: (message: LinkMessage, send: (message: LinkMessage) => boolean) => void;
	readonly clock: () => number;
	readonly random: () => number;
};

type PeerLink = {
	readonly link: PersistentLink;
	readonly vm: Vm;
	/** Messages queued while the link is opened for the first time; undefined once that succeeded or failed. */
	queue: LinkMessage[] | undefined;
	usedAt: number;
};

/** Time without use after which a link is closed, milliseconds. */
const idleTimeoutMs = 60_000;
/** Maximum number of messages queued for a link that is being opened. */
const maximumQueuedMessages = 16;

/** The links to other entries, opened on first use and closed when idle. */
export class PeerPool {
	private readonly links = new Map<string, PeerLink>();

	constructor(private readonly options: PoolOptions) {}

	get size(): number {
		return this.links.size;
	}

	/** Sends a message to an entry, opening a link if needed; returns false if the entry cannot be reached now. */
	send(vm: Vm, message: LinkMessage): boolean {
		const known = this.links.get(vm.id);
		const isMoved = known && (known.vm.address !== vm.address || known.vm.linkPort !== vm.linkPort);
		if (isMoved) {
			known.link.close();
		}

		const peer = known && !isMoved ? known : this.open(vm);
		peer.usedAt = this.options.clock();
		if (peer.queue && peer.queue.length < maximumQueuedMessages) {
			peer.queue.push(message);
			return true;
		}

		return peer.link.current?.send(message) ?? false;
	}

	/** Sends a message on every open link. */
	broadcast(message: LinkMessage): void {
		for (const {link} of this.links.values()) {
			link.current?.send(message);
		}
	}

	/** Closes idle links; `now` in milliseconds. */
	tick(now: number): void {
		for (const [id, {link, usedAt}] of this.links) {
			if (now - usedAt > idleTimeoutMs) {
				link.close();
				this.links.delete(id);
			}
		}
	}

	close(): void {
		for (const {link} of this.links.values()) {
			link.close();
		}
	}

	private open(vm: Vm): PeerLink {
		const peer: PeerLink = {
			vm,
			usedAt: 0,
			queue: [],
			link: new PersistentLink({
				connect: async () => this.options.connect(vm),
				random: this.options.random,
				onLost() {
					peer.queue = undefined;
				},
				onOpen: connection => {
					connection.onMessage(message => {
						this.options.onMessage(message, reply => connection.send(reply));
					});
					connection.send(this.options.hello());
					for (const message of peer.queue ?? []) {
						connection.send(message);
					}

					peer.queue = undefined;
				},
			}),
		};
		this.links.set(vm.id, peer);
		return peer;
	}
}
