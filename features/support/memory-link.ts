import {type LinkConnection} from '../../src/link/link-connection.js';
import {type LinkMessage} from '../../src/link/link-message.js';

type Connection = {
	readonly close: () => void;
	readonly answer: (message: LinkMessage) => boolean;
	readonly deliverToEntry: (message: LinkMessage) => void;
};
type Receiver = (message: LinkMessage, answer: (message: LinkMessage) => boolean) => void;

/**
 * A link in memory between an entry and a target, one connection after another. Each direction can hold messages
 * back, so that a scenario delivers them late, twice, in another order, or never.
 */
export class MemoryLink {
	/** Messages on the way to the target and to the entry while `isHolding`. */
	readonly toTarget: LinkMessage[] = [];
	readonly toEntry: LinkMessage[] = [];
	isHolding = false;
	/** While set, nobody can connect. */
	isDown = false;

	private current: Connection | undefined;

	/**
	 * @param onMessage - the target's handler of messages
	 * @param onDisconnect - the target's handler of a lost connection
	 */
	constructor(public onMessage: Receiver, public onDisconnect: (answer: (message: LinkMessage) => boolean) => void) {}

	/** Connects, as `connectLink` does. */
	readonly connect = async (): Promise<LinkConnection> => {
		if (this.isDown) {
			throw new Error('away');
		}

		let isOpen = true;
		let onMessage: (message: LinkMessage) => void = () => undefined;
		const closeHandlers: Array<() => void> = [];
		const answer = (message: LinkMessage): boolean => {
			if (!isOpen) {
				return false;
			}

			if (this.isHolding) {
				this.toEntry.push(message);
			} else {
				onMessage(message);
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
				onMessage(message);
			},
		};

		const connection = {
			get isOpen() {
				return isOpen;
			},
			onMessage(handler: typeof onMessage) {
				onMessage = handler;
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

	/** Cuts the connection; what was held back stays in hand. */
	disconnect(): void {
		this.current?.close();
	}

	/** Delivers a message to the target now, on the newest connection. */
	deliverToTarget(message: LinkMessage): void {
		this.onMessage(message, this.current!.answer);
	}

	/** Delivers messages to the entry now. */
	deliverToEntry(messages: readonly LinkMessage[]): void {
		for (const message of messages) {
			this.current!.deliverToEntry(message);
		}
	}

	/** Ends the holding and delivers what was held, in order. */
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
