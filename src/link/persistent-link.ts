import {type LinkConnection} from './link-connection.js';

type PersistentLinkOptions = {
	readonly connect: () => Promise<LinkConnection>;
	/** Called with each connection that was opened. */
	readonly onOpen: (connection: LinkConnection) => void;
	/** Called when the connection was lost or could not be opened. */
	readonly onLost: (message: string) => void;
	/** Returns a number from 0 to 1, for the jitter of reconnects. */
	readonly random: () => number;
	/** Maximum backoff between two attempts, before jitter, milliseconds. */
	readonly maximumDelayMs?: number;
};

/** Backoff before the first reconnect, milliseconds; it doubles with each failed attempt. */
const initialRetryDelayMs = 50;
const defaultMaximumRetryDelayMs = 5000;

/** Keeps one link open: connects, and reconnects with exponential backoff and jitter until it is closed. */
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

	/** Closes the connection for good. */
	close(): void {
		this.isClosed = true;
		clearTimeout(this.timer);
		this.connection?.close();
	}

	/** Closes the connection at once; a reconnect follows. */
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
