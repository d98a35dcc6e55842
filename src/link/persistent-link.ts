import {type LinkConnection} from './link-connection.js';

type PersistentLinkOptions = {
	readonly connect: () => Promise<LinkConnection>;
	/** Called for each connection that opened. */
	readonly onOpen: (connection: LinkConnection) => void;
	/** Called when the connection was lost or could not be opened. */
	readonly onLost: (message: string) => void;
	/** A number from 0 to 1 that spreads reconnects. */
	readonly random: () => number;
	/** Longest pause between two tries, milliseconds. */
	readonly maximumDelayMs?: number;
};

const initialRetryDelayMs = 50;
const defaultMaximumRetryDelayMs = 5000;

/** A task that keeps one link open: connects, and connects again with growing, jittered delays until it is closed. */
export class PersistentLink {
	private connection: LinkConnection | undefined;
	private retryDelayMs = initialRetryDelayMs;
	private timer: NodeJS.Timeout | undefined;
	private isClosed = false;

	constructor(private readonly options: PersistentLinkOptions) {
		void this.open();
	}

	/** The open connection, if there is one. */
	get current(): LinkConnection | undefined {
		return this.connection?.isOpen ? this.connection : undefined;
	}

	/** Ends the task and its connection. */
	close(): void {
		this.isClosed = true;
		clearTimeout(this.timer);
		this.connection?.close();
	}

	/** Cuts the connection at once; the task connects again. */
	disconnect(): void {
		this.connection?.destroy();
	}

	private async open(): Promise<void> {
		try {
			const connection = await this.options.connect();
			if (this.isClosed) {
				connection.destroy();
				return;
			}

			this.connection = connection;
			this.retryDelayMs = initialRetryDelayMs;
			connection.onClose(error => {
				this.scheduleReconnect(error?.message ?? 'closed by the peer');
			});
			this.options.onOpen(connection);
		} catch (error) {
			this.scheduleReconnect((error as Error).message);
		}
	}

	private scheduleReconnect(message: string): void {
		this.connection = undefined;
		if (this.isClosed) {
			return;
		}

		this.options.onLost(message);
		const jitter = 0.5 + this.options.random();
		this.timer = setTimeout(() => {
			void this.open();
		}, this.retryDelayMs * jitter);
		this.retryDelayMs = Math.min(this.retryDelayMs * 2, this.options.maximumDelayMs ?? defaultMaximumRetryDelayMs);
	}
}
