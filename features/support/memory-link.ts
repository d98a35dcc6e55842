import {type LinkConnection} from '../../src/link/link-connection.js';
import {type LinkMessage} from '../../src/link/link-message.js';

/** One connection: its close, and the sending of messages to the entry, held back or at once. */
type Connection = {
	readonly close: () => void;
	readonly answer: (message: LinkMessage) => boolean;
	readonly deliverToEntry: (message: LinkMessage) => void;
};
type Receiver = (message: LinkMessage, answer: (message: LinkMessage) => boolean) => void;

/**
 * An in-memory link between an entry and a target, with one connection at a time. Messages of both directions can be
 * held back, so that a scenario can deliver them late, twice, in another order, or never.
 */
export class MemoryLink {
	/** Messages held back on the way to the target and to the entry. */
	readonly toTarget: LinkMessage[] = [];
	readonly toEntry: LinkMessage[] = [];
	/** Whether messages are held back instead of delivered. */
	isHolding = false;
	/** Whether attempts to connect fail. */
	isDown = false;

	private current: Connection | undefined;

	/**
	 * @param onMessage - the target's handler for messages
	 * @param onDisconnect - the target's handler for a lost connection
	 */
	constructor(public onMessage: Receiver, public onDisconnect: (answer: (message: LinkMessage) => boolean) => void) {}

	/** Opens a connection, in place of `connectLink`. */
	readonly connect = async (): Promise<LinkConnection> => {
		if (this.isDown) {
			throw new Error('the link is down');
		}

		let isOpen = true;
		let entryHandler: (message: LinkMessage) => void = () => undefined;
		const closeHandlers: Array<() => void> = [];
		const answer = (message: LinkMessage): boolean => {
			if (!isOpen) {
				return false;
			}

			if (this.isHolding) {
				this.toEntry.push(message);
			} else {
				entryHandler(message);
			}

			return true;
		};

		const close = (): void => {
			if (isOpen) {
				isOpen = false;
				this.onDisconnect(answer);
				for (const handler of closeHandlers) {
					handler();
				}
			}
		};

		this.current = {
			close,
			answer,
			deliverToEntry(message) {
				entryHandler(message);
			},
		};

		const connection = {
			get isOpen() {
				return isOpen;
			},
			onMessage(handler: typeof entryHandler) {
				entryHandler = handler;
			},
			onClose(handler: () => void) {
				closeHandlers.push(handler);
			},
			send: (message: LinkMessage): boolean => {
				if (isOpen) {
					this.send(message, answer);
				}

				return isOpen;
			},
			close,
			destroy: close,
		};
		return connection as unknown as LinkConnection;
	};

	/** Closes the connection at once; messages held back are kept. */
	disconnect(): void {
		this.current?.close();
	}

	/** Delivers a message to the target at once, on the newest connection. */
	deliverToTarget(message: LinkMessage): void {
		this.onMessage(message, this.current!.answer);
	}

	/** Delivers messages to the entry at once, on the newest connection. */
	deliverToEntry(messages: readonly LinkMessage[]): void {
		for (const message of messages) {
			this.current!.deliverToEntry(message);
		}
	}

	/** Stops holding messages back and delivers those that were held, in order. */
	deliverHeld(): void {
		this.isHolding = false;
		for (const message of this.toTarget.splice(0)) {
			this.deliverToTarget(message);
		}

		this.deliverToEntry(this.toEntry.splice(0));
	}

	private send(message: LinkMessage, answer: (message: LinkMessage) => boolean): void {
		if (this.isHolding) {
			this.toTarget.push(message);
		} else {
			this.onMessage(message, answer);
		}
	}
}
