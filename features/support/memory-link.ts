import {type LinkConnection} from '../../src/link/link-connection.js';
import {type LinkMessage} from '../../src/link/link-message.js';

type Ends = {
	readonly close: () => void;
	readonly answer: (message: LinkMessage) => boolean;
	readonly deliver: (message: LinkMessage) => void;
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
	isAway = false;

	private current: Ends | undefined;

	/**
	 * @param receive - the target's handler of messages
	 * @param lose - the target's handler of a lost connection
	 */
	constructor(public receive: Receiver, public lose: (answer: (message: LinkMessage) => boolean) => void) {}

	/** Connects, as `connectLink` does. */
	readonly connect = async (): Promise<LinkConnection> => {
		if (this.isAway) {
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
				this.lose(answer);
				for (const handler of closeHandlers) {
					handler();
				}
			}
		};

		this.current = {
			close,
			answer,
			deliver(message) {
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
	cut(): void {
		this.current?.close();
	}

	/** Delivers a message to the target now, on the newest connection. */
	deliver(message: LinkMessage): void {
		this.receive(message, this.current!.answer);
	}

	/** Delivers messages to the entry now. */
	hand(messages: readonly LinkMessage[]): void {
		for (const message of messages) {
			this.current!.deliver(message);
		}
	}

	/** Ends the holding and delivers what was held, in order. */
	release(): void {
		this.isHolding = false;
		for (const message of this.toTarget.splice(0)) {
			this.deliver(message);
		}

		this.hand(this.toEntry.splice(0));
	}

	private send(message: LinkMessage, answer: (message: LinkMessage) => boolean): void {
		if (this.isHolding) {
			this.toTarget.push(message);
		} else {
			this.receive(message, answer);
		}
	}
}
