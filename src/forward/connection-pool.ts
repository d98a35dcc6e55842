import {type Target} from '../fleet/target.js';
import {TargetConnection} from './target-connection.js';

type IdleConnection = {readonly connection: TargetConnection; readonly since: number};
type TakenConnection = {
	readonly connection: TargetConnection;
	/** When it last proved to work, milliseconds: the end of its last answer, or now for a new one, which proves itself by opening. */
	readonly aliveAt: number;
};

/** Up to this many connections are opened without a look at the limit. */
const uncheckedConnections = 32;

/** Idle connections to targets, kept for reuse. */
export class ConnectionPool {
	/** By target id, the most recently used connection last. */
	private readonly idle = new Map<string, IdleConnection[]>();
	/** Connections that are open, idle or not. */
	private openCount = 0;

	/**
	 * @param clock - returns the present time, milliseconds
	 * @param getMaximum - returns the limit on open connections at this time, milliseconds
	 */
	constructor(private readonly clock: () => number, private readonly getMaximum: (now: number) => number) {}

	/**
	 * Returns an idle connection to a target, or a new one; undefined if too many are open and in use.
	 *
	 * @param maximumIdleMs - longest time that it may have been idle, milliseconds; the target may have closed it unnoticed
	 */
	take(target: Target, maximumIdleMs: number): TakenConnection | undefined {
		const connections = this.idle.get(target.id) ?? [];
		const now = this.clock();
		while (connections.length > 0 && connections.at(-1)!.since >= now - maximumIdleMs) {
			const {connection, since} = connections.pop()!;
			if (connection.isReusable) {
				return {connection, aliveAt: since};
			}

			connection.destroy();
		}

		return this.hasRoom(now) ? {connection: this.open(target), aliveAt: now} : undefined;
	}

	/** Returns a connection to the pool after a complete answer. */
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

	/** Closes the idle connections that were last used before `before`, milliseconds: they may be silent. */
	retire(before: number): void {
		for (const [target, connections] of this.idle) {
			for (const {connection} of connections.filter(({since}) => since < before)) {
				connection.destroy();
			}

			this.idle.set(target, connections.filter(({since}) => since >= before));
		}
	}

	/** Closes all idle connections. */
	close(): void {
		for (const target of this.idle.keys()) {
			this.drop(target);
		}
	}

	/* The idle connections to other targets give way to a new one. */
	private hasRoom(now: number): boolean {
		if (this.openCount < uncheckedConnections || this.openCount < this.getMaximum(now)) {
			return true;
		}

		this.retire(now);
		return this.openCount < this.getMaximum(now);
	}

	private open(target: Target): TargetConnection {
		return new TargetConnection(target, change => {
			this.openCount += change;
		});
	}
}
