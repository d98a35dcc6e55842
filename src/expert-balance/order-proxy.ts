import {type LinkConnection} from '../link/link-connection.js';
import {type MessageOf} from '../link/message-of.js';
import {PersistentLink} from '../link/persistent-link.js';
import {type RankOrder} from './rank-order.js';

type ProxyOptions = {
	readonly connect: (address: string) => Promise<LinkConnection>;
	/** Addresses of the entries; empty while they are unknown. */
	readonly listEntries: () => Promise<readonly string[]>;
	readonly onOutcome: (outcome: MessageOf<'engine-outcome'>['outcome']) => void;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** Maximum reconnection delay, milliseconds. */
const maximumDelayMs = 500;
/** An entry that has not answered an order within this time is replaced, milliseconds; it usually answers within 100. */
const answerTimeoutMs = 200;
/** Time after which another entry is chosen if the current one cannot be reached, milliseconds. */
const chooseIntervalMs = 1000;

/**
 * Sends orders to engines through an entry, whose VM runs no rank. If a rank's VM ordered a hold and was lost right
 * after it, its own rank would be lost as well, and the held group would wait for that rank.
 */
export class OrderProxy {
	private link: PersistentLink | undefined;
	/** The entry that the link connects to, and when the oldest unanswered order was sent to it, milliseconds. */
	private address = '';
	private unansweredSince: number | undefined;
	private isChoosing = false;
	private chooseAt = 0;
	private lastNumber = 0;

	constructor(private readonly options: ProxyOptions) {}

	/** Keeps a link to one of the entries; replaces an entry that does not answer. */
	async tick(now: number): Promise<void> {
		if (this.unansweredSince !== undefined && now - this.unansweredSince > answerTimeoutMs) {
			this.options.log(`entry ${this.address} does not answer orders; choosing another`);
			this.close();
			this.chooseAt = now;
		}

		const isLinked = this.link?.current !== undefined;
		if (isLinked || this.isChoosing || now < this.chooseAt) {
			return;
		}

		this.isChoosing = true;
		this.chooseAt = now + chooseIntervalMs;
		try {
			this.choose(await this.options.listEntries());
		} finally {
			this.isChoosing = false;
		}
	}

	/** Sends an order for an engine; false if no entry is connected. */
	sendOrder(engineAddress: string, order: RankOrder, now: number): boolean {
		this.lastNumber++;
		const isSent = this.link?.current?.send({
			type: 'engine-order', number: this.lastNumber, engineAddress, order,
		}) ?? false;
		if (isSent) {
			this.unansweredSince ??= now;
		}

		return isSent;
	}

	close(): void {
		this.link?.close();
		this.link = undefined;
		this.unansweredSince = undefined;
	}

	private choose(entries: readonly string[]): void {
		const others = entries.filter(address => address !== this.address);
		this.close();
		if (others.length > 0) {
			this.address = others[Math.floor(this.options.random() * others.length)];
			this.link = this.open(this.address);
		}
	}

	private open(address: string): PersistentLink {
		const {connect, random, onOutcome, log} = this.options;
		return new PersistentLink({
			connect: async () => connect(address),
			random,
			maximumDelayMs,
			onLost(message) {
				log(`link for orders to entry ${address} lost: ${message}`);
			},
			onOpen: connection => {
				connection.onMessage(message => {
					if (message.type === 'engine-outcome') {
						this.unansweredSince = undefined;
						onOutcome(message.outcome);
					}
				});
			},
		});
	}
}
