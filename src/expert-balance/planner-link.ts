import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {PersistentLink} from '../link/persistent-link.js';

type LinkOptions = {
	/** Where this process takes links itself. */
	readonly ownAddress: string;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly onMessage: (message: LinkMessage) => void;
	readonly random: () => number;
	readonly clock: () => number;
};

type OpenLink = {readonly address: string; readonly link: PersistentLink; receivedAt: number};

/** Longest pause between two tries to reach the planner, milliseconds. */
const maximumDelayMs = 500;
/** A link on which the planner gave no sign of life for so long is opened anew, milliseconds; it gives one a second. */
const silenceTimeoutMs = 2500;

/** This process's link to the planner in office, which may change or be this process itself. */
export class PlannerLink {
	private openLink: OpenLink | undefined;

	constructor(private readonly options: LinkOptions) {}

	/** Follows whoever is in office; undefined when nobody is. */
	follow(address: string | undefined, now: number): void {
		const wanted = address === this.options.ownAddress ? undefined : address;
		if (this.openLink && this.openLink.address !== wanted) {
			this.close();
		}

		if (this.openLink?.link.current && now - this.openLink.receivedAt > silenceTimeoutMs) {
			this.openLink.receivedAt = now;
			this.openLink.link.cut();
		}

		if (wanted !== undefined) {
			this.openLink ??= this.connect(wanted, now);
		}
	}

	/** Sends a message to the planner; false when it is not in reach. */
	send(message: LinkMessage): boolean {
		return this.openLink?.link.current?.send(message) ?? false;
	}

	close(): void {
		this.openLink?.link.close();
		this.openLink = undefined;
	}

	private connect(address: string, now: number): OpenLink {
		const {connect, onMessage, random, clock} = this.options;
		const openLink: OpenLink = {
			address,
			receivedAt: now,
			link: new PersistentLink({
				connect: async () => connect(address),
				random,
				maximumDelayMs,
				onLost() {
					openLink.receivedAt = clock();
				},
				onOpen(connection) {
					openLink.receivedAt = clock();
					connection.onMessage(message => {
						openLink.receivedAt = clock();
						onMessage(message);
					});
				},
			}),
		};
		return openLink;
	}
}
