/** A connection; once silent, nothing sent on it arrives in either direction. `idleSince` in milliseconds. */
type Connection = {isSilent: boolean; idleSince: number};

/** An idle connection is closed after this time, milliseconds: the default of the HTTP client. */
const idleMs = 4000;

/** The connections of one process to the store: a call takes an idle one, or opens a new one. */
export class SimulatedConnections {
	private idle: Connection[] = [];
	private readonly open = new Set<Connection>();

	constructor(private readonly clock: () => number) {}

	/** Takes a connection for a call. */
	take(): Connection {
		const now = this.clock();
		this.idle = this.idle.filter(({idleSince}) => now - idleSince < idleMs);
		const connection = this.idle.shift() ?? {isSilent: false, idleSince: now};
		this.open.add(connection);
		return connection;
	}

	/** Keeps a connection whose call was answered. */
	release(connection: Connection): void {
		connection.idleSince = this.clock();
		if (this.open.has(connection)) {
			this.idle.push(connection);
		}
	}

	/** Closes the idle connections, as after a call without an answer; those in use are not kept after their calls. */
	renew(): void {
		this.idle = [];
		this.open.clear();
	}

	/** Adds idle connections, as after calls that were made at the same time. */
	addIdle(count: number): void {
		const connections = Array.from({length: count}, () => this.take());
		for (const connection of connections) {
			this.release(connection);
		}
	}

	/** Makes the open connections silent; `isAffected` is asked for each. */
	silence(isAffected: () => boolean): void {
		for (const connection of this.open) {
			connection.isSilent ||= isAffected();
		}
	}
}
