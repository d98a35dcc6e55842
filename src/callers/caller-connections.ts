import {type Socket} from 'node:net';
import {type MemoryBudget} from '../memory/memory-budget.js';
import {CallerConnection} from './caller-connection.js';
import {CallerMemory} from './caller-memory.js';
import {feedParser} from './feed-parser.js';
import {InputTurns} from './input-turns.js';
import {type ReleaseKind} from './release-kind.js';

type ConnectionsOptions = {
	readonly clock: () => number;
	/** Limits what callers make the process hold. */
	readonly budget: MemoryBudget;
	/** Returns the limit on connections at this time, milliseconds. */
	readonly getMaximumConnections: (now: number) => number;
	/** Called when a connection is closed, or gives something up, because memory or descriptors are short. */
	readonly onRelease: (kind: ReleaseKind) => void;
	/** Called when the last connection has closed. */
	readonly onEmpty: () => void;
};

/** A connection of a caller and what it makes the process hold. */
type Caller = {
	readonly socket: Socket;
	readonly connection: CallerConnection;
	readonly memory: CallerMemory;
	/** Whether the parser has found a head, or a part of a body, in the present piece of input. */
	hasProgress: boolean;
	/** Whether it has found a head there whose body comes in chunks. */
	hasBegunChunks: boolean;
};

/** Up to this many connections are accepted without a look at the limit. */
const uncheckedConnections = 64;

/** The open connections of callers, limited in number and memory. */
export class CallerConnections {
	private readonly callers = new Map<Socket, Caller>();
	private readonly turns = new InputTurns();

	constructor(private readonly options: ConnectionsOptions) {}

	/** Number of open connections. */
	get size(): number {
		return this.callers.size;
	}

	/** Adds a connection that was accepted. One above the limit takes the place of one that has been idle, or is closed at once. */
	add(socket: Socket): void {
		const {clock, budget, onRelease, onEmpty} = this.options;
		const now = clock();
		if (this.getExcess(now) >= 0 && !this.makeRoom(now)) {
			onRelease('idle');
			socket.destroy();
			return;
		}

		const connection = new CallerConnection(socket);
		const memory = new CallerMemory({
			connection, socket, budget, clock, onRelease,
		});
		const caller: Caller = {
			socket, connection, memory, hasProgress: false, hasBegunChunks: false,
		};
		this.callers.set(socket, caller);
		feedParser({
			socket,
			onPiece(piece, isLast) {
				if (isLast || !caller.hasProgress) {
					memory.noteRead(piece, caller.hasProgress);
				}

				caller.hasProgress = false;
				caller.hasBegunChunks = false;
				connection.discardUnwanted();
			},
			hasBegunChunks: () => caller.hasBegunChunks,
			isOver: () => connection.isOver,
			turns: this.turns,
			holdInput(bytes) {
				memory.holdInput(bytes);
			},
		});
		socket.once('close', () => {
			memory.close();
			this.callers.delete(socket);
			if (this.callers.size === 0) {
				onEmpty();
			}
		});
	}

	/** Returns an open connection; undefined for one that was closed at once. */
	get(socket: Socket): Caller | undefined {
		return this.callers.get(socket);
	}

	/** Lists the open connections. */
	list(): Iterable<Caller> {
		return this.callers.values();
	}

	/**
	 * Closes connections if the limit on them has fallen, and those of callers that have taken nothing of an answer for `maximumStallMs`;
	 * to be called at short intervals.
	 */
	check(maximumStallMs: number): void {
		const now = this.options.clock();
		for (let excess = this.getExcess(now); excess > 0; excess--) {
			this.makeRoom(now);
		}

		for (const {memory} of this.callers.values()) {
			memory.checkProgress(now);
			if (memory.getStallMs(now) >= maximumStallMs) {
				memory.release(now);
			}
		}
	}

	private getExcess(now: number): number {
		const {size} = this.callers;
		return size < uncheckedConnections ? -1 : size - this.options.getMaximumConnections(now);
	}

	/* Closes the connection without a request that has been idle for longest; else gives up the body that has been arriving for longest. */
	private makeRoom(now: number): boolean {
		let idle: Caller | undefined;
		let receiving: Caller | undefined;
		for (const caller of this.callers.values()) {
			if (!caller.connection.hasOpen) {
				idle = idle === undefined || caller.memory.idleSince < idle.memory.idleSince ? caller : idle;
			} else if (caller.connection.isReceivingFirst) {
				receiving = receiving === undefined || caller.memory.idleSince < receiving.memory.idleSince ? caller : receiving;
			}
		}

		if (idle) {
			this.options.onRelease('idle');
			idle.socket.destroy();
			this.callers.delete(idle.socket);
			return true;
		}

		// Its connection becomes idle with the refusal.
		receiving?.memory.release(now);
		return false;
	}
}
