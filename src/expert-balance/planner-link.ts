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

type Open = {readonly address: string; readonly link: PersistentLink; heardAt: number};

/** Longest pause between two tries to reach the planner, milliseconds. */
const maximumDelayMs = 500;
/** A link on which the planner gave no sign of life for so long is opened anew, milliseconds; it gives one a second. */
const silentMs = 2500;

/** This process's link to the planner in office, which may change or be this process itself. */
export class PlannerLink {
	private open: Open | undefined;

	constructor(private readonly options: LinkOptions) {}

	/** Follows whoever is in office; undefined when nobody is. */
	follow(address: string | undefined, now: number): void {
		const wanted = address === this.options.ownAddress ? undefined : address;
		if (this.open && this.open.address !== wanted) {
			this.close();
		}

		if (this.open?.link.current && now - this.open.heardAt > silentMs) {
			this.open.heardAt = now;
			this.open.link.disconnect();
		}

		if (wanted !== undefined) {
			this.open ??= this.connect(wanted, now);
		}
	}

	/** Sends a message to the planner; false when it is not in reach. */
	send(message: LinkMessage): boolean {
		return this.open?.link.current?.send(message) ?? false;
	}

	close(): void {
		this.open?.link.close();
		this.open = undefined;
	}

	private connect(address: string, now: number): Open {
		const {connect, onMessage, random, clock} = this.options;
		const open: Open = {
			address,
			heardAt: now,
			link: new PersistentLink({
				connect: async () => connect(address),
				random,
				maximumDelayMs,
				onLost() {
					open.heardAt = clock();
				},
				onOpen(connection) {
					open.heardAt = clock();
					connection.onMessage(message => {
						open.heardAt = clock();
						onMessage(message);
					});
				},
			}),
		};
		return open;
	}
}
