import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {PersistentLink} from '../link/persistent-link.js';

type LinkOptions = {
	/** Address on which this process accepts links itself. */
	readonly ownAddress: string;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly onMessage: (message: LinkMessage) => void;
	readonly random: () => number;
	readonly clock: () => number;
};

type OpenLink = {readonly address: string; readonly link: PersistentLink; receivedAt: number};

/** Maximum reconnection delay, milliseconds. */
const maximumDelayMs = 500;
/** A link on which nothing was received for this time is reconnected, milliseconds; the planner sends a heartbeat each second. */
const silenceTimeoutMs = 2500;

/** This process's link to the current planner, which may change or be this process itself. */
export class PlannerLink {
	private openLink: OpenLink | undefined;

	constructor(private readonly options: LinkOptions) {}

	/** Connects to the planner at an address; undefined while there is no planner. */
	follow(address: string | undefined, now: number): void {
		const wanted = address === this.options.ownAddress ? undefined : address;
		if (this.openLink && this.openLink.address !== wanted) {
			this.close();
		}

		if (this.openLink?.link.current && now - this.openLink.receivedAt > silenceTimeoutMs) {
			this.openLink.receivedAt = now;
			this.openLink.link.disconnect();
		}

		if (wanted !== undefined) {
			this.openLink ??= this.connect(wanted, now);
		}
	}

	/** Sends a message to the planner; false if it is not connected. */
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
