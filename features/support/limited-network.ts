import {type LinkConnection} from '../../src/link/link-connection.js';
import {encodeFrame} from '../../src/link/encode-frame.js';
import {type LinkMessage} from '../../src/link/link-message.js';

type Host = {
	/** When the VM's link has finished sending, and receiving, everything queued on it, milliseconds. */
	uplinkFreeAt: number;
	downlinkFreeAt: number;
	/** When the VM's process has handled all that it has received, milliseconds. */
	handledAt: number;
	/** Bytes that the VM has sent so far. */
	sentBytes: number;
	accept?: (connection: LinkConnection) => void;
};

/** One end of a connection, with the handlers that its process has set. */
type End = {receive: (message: LinkMessage) => void; readonly closeHandlers: Array<() => void>};

type NetworkOptions = {
	/** Bandwidth of each VM's link in each direction. */
	readonly bytesPerSecond: number;
	readonly latencyMs: number;
	readonly clock: () => number;
	/** Whether one VM can reach another now; always if absent. Messages in transit while it cannot are lost. */
	readonly isReachable?: (from: string, to: string) => boolean;
};

/** Whether a connection is open; once silent, nothing sent on it arrives. */
type ConnectionState = {isOpen: boolean; isSilent: boolean};

type Ends = {readonly here: string; readonly there: string; readonly own: End; readonly other: End; readonly state: ConnectionState};

const makeEnd = (): End => ({
	receive() {
		// No handler has been set yet.
	},
	closeHandlers: [],
});

/** In-memory network between VMs with links of limited bandwidth in each direction; messages beyond it are queued. */
export class LimitedNetwork {
	/** Time that a process takes to handle one message, milliseconds. */
	messageMs = 0;
	private readonly hosts = new Map<string, Host>();
	private readonly connections = new Set<ConnectionState>();

	constructor(private readonly options: NetworkOptions) {}

	/** Accepts links at an address. */
	listen(address: string, accept: (connection: LinkConnection) => void): void {
		this.getHost(address).accept = accept;
	}

	/** Returns the bytes that a VM has sent so far, counting frames only. */
	getSentBytes(address: string): number {
		return this.getHost(address).sentBytes;
	}

	/** Opens a link from one VM to another. */
	async connect(from: string, to: string): Promise<LinkConnection> {
		const {accept} = this.getHost(to);
		if (!accept || !this.isReachable(from, to)) {
			throw new Error(`nobody listens at ${to}`);
		}

		const near = makeEnd();
		const far = makeEnd();
		const state: ConnectionState = {isOpen: true, isSilent: false};
		this.connections.add(state);
		accept(this.openEnd({
			here: to, there: from, own: far, other: near, state,
		}));
		return this.openEnd({
			here: from, there: to, own: near, other: far, state,
		});
	}

	/** Makes the open links silent, without closing them; `isAffected` is asked for each. */
	silence(isAffected: () => boolean): void {
		for (const state of this.connections) {
			state.isSilent ||= isAffected();
		}
	}

	/** Stops accepting links at an address, as when its process ends. */
	disconnect(address: string): void {
		this.getHost(address).accept = undefined;
	}

	private isReachable(from: string, to: string): boolean {
		return this.options.isReachable?.(from, to) ?? true;
	}

	private openEnd({here, there, own, other, state}: Ends): LinkConnection {
		const close = (): void => {
			if (!state.isOpen) {
				return;
			}

			state.isOpen = false;
			this.connections.delete(state);
			for (const handler of [...own.closeHandlers, ...other.closeHandlers]) {
				handler();
			}
		};

		let leavesAt = 0;
		const {clock} = this.options;
		const connection = {
			get isOpen() {
				return state.isOpen;
			},
			get isBackedUp() {
				return leavesAt > clock();
			},
			onMessage(handler: (message: LinkMessage) => void) {
				own.receive = handler;
			},
			onClose(handler: () => void) {
				own.closeHandlers.push(handler);
			},
			send: (message: LinkMessage): boolean => {
				if (state.isOpen) {
					leavesAt = this.transmit(here, there, message, () => {
						if (state.isOpen && !state.isSilent && this.isReachable(here, there)) {
							other.receive(message);
						}
					});
				}

				return state.isOpen;
			},
			close,
			destroy: close,
		};
		return connection as unknown as LinkConnection;
	}

	/* Returns when the message is received; later messages of the connection wait at the sender until then. */
	private transmit(from: string, to: string, message: LinkMessage, deliver: () => void): number {
		const {bytesPerSecond, latencyMs, clock} = this.options;
		const now = clock();
		const {length} = encodeFrame(message);
		const takesMs = length * 1000 / bytesPerSecond;
		const sender = this.getHost(from);
		sender.sentBytes += length;
		const receiver = this.getHost(to);
		sender.uplinkFreeAt = Math.max(now, sender.uplinkFreeAt) + takesMs;
		receiver.downlinkFreeAt = Math.max(sender.uplinkFreeAt + latencyMs, receiver.downlinkFreeAt) + takesMs;
		receiver.handledAt = Math.max(receiver.downlinkFreeAt, receiver.handledAt) + this.messageMs;
		setTimeout(deliver, receiver.handledAt - now);
		return receiver.downlinkFreeAt;
	}

	private getHost(address: string): Host {
		const host = this.hosts.get(address) ?? {
			uplinkFreeAt: 0, downlinkFreeAt: 0, handledAt: 0, sentBytes: 0,
		};
		this.hosts.set(address, host);
		return host;
	}
}
