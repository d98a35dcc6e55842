import {type Target} from '../fleet/target.js';
import {TargetConnection} from './target-connection.js';

type Idle = {readonly connection: TargetConnection; readonly since: number};

/** Idle connections to targets, kept for the next request. */
export class ConnectionPool {
	/** Each target's, the one used last at the end. */
	private readonly idle = new Map<string, Idle[]>();

	/** @param clock - the present, milliseconds */
	constructor(private readonly clock: () => number) {}

	/**
	 * Takes an idle connection to a target, or a new one.
	 *
	 * @param longestIdleMs - how long it may have been idle; a target may have dropped it unnoticed
	 */
	take(target: Target, longestIdleMs: number): TargetConnection {
		const connections = this.idle.get(target.id) ?? [];
		const earliest = this.clock() - longestIdleMs;
		while (connections.length > 0 && connections.at(-1)!.since >= earliest) {
			const {connection} = connections.pop()!;
			if (connection.isReusable) {
				return connection;
			}

			connection.destroy();
		}

		return new TargetConnection(target);
	}

	/** Gives a connection back after a whole answer. */
	release(target: Target, connection: TargetConnection): void {
		if (!connection.isReusable) {
			connection.destroy();
			return;
		}

		const connections = this.idle.get(target.id) ?? [];
		connections.push({connection, since: this.clock()});
		this.idle.set(target.id, connections);
	}

	/** Closes the idle connections to a target that takes no more requests. */
	drop(target: string): void {
		for (const {connection} of this.idle.get(target) ?? []) {
			connection.destroy();
		}

		this.idle.delete(target);
	}

	/** Closes all idle connections. */
	close(): void {
		for (const target of this.idle.keys()) {
			this.drop(target);
		}
	}
}
