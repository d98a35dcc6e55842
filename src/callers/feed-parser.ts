import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {ChunkJoiner} from './chunk-joiner.js';
import {type InputTurns} from './input-turns.js';

type FeedOptions = {
	readonly socket: Socket;
	/** Called after each piece that the parser has seen; `isLast` if nothing else has been read. */
	readonly onPiece: (piece: Buffer, isLast: boolean) => void;
	/** Whether the last piece has brought a request whose body comes in chunks. */
	readonly hasBegunChunks: () => boolean;
	/** Whether the parser must not see more. */
	readonly isOver: () => boolean;
	readonly turns: InputTurns;
	/** Counts the bytes that have been read and wait for a later turn; the parser must not see more if there is no room for them. */
	readonly holdInput: (bytes: number) => void;
};

/** Bytes that the parser sees at once: many requests, fields or chunks fit into a read, and limits are checked only between pieces. */
const pieceBytes = 4096;
/** Bytes of one connection that are parsed in a turn of the event loop, so that the others are served in between. */
const connectionTurnBytes = 4 * pieceBytes;
const carriageReturn = 0x0D;
const lineFeed = 0x0A;

/* Returns the end of the first empty line from a position on, up to `limit`, where an empty line is one of at most a carriage return. */
const findEmptyLine = (bytes: Buffer, start: number, limit: number, hasLineBefore: boolean): number | undefined => {
	let lineStart = hasLineBefore ? start : undefined;
	for (let end = bytes.indexOf(lineFeed, start); end !== -1 && end < limit; end = bytes.indexOf(lineFeed, end + 1)) {
		if (lineStart !== undefined && (end === lineStart || (end === lineStart + 1 && bytes[lineStart] === carriageReturn))) {
			return end + 1;
		}

		lineStart = end + 1;
	}

	return undefined;
};

/* Whether a piece ends with a line feed, or with one and a carriage return; `isAtLineStart`: whether the piece before it did. */
const endsLine = (piece: Buffer, isAtLineStart: boolean): boolean => {
	const last = piece.at(-1);
	const isAfterLine = piece.length === 1 ? isAtLineStart : piece.at(-2) === lineFeed;
	return last === lineFeed || (last === carriageReturn && isAfterLine);
};

/**
 * Lets Node's parser see what arrives on a connection of its HTTP server in small pieces, with small chunks joined.
 *
 * @param socket - a connection that Node's listener has seen
 */
export function feedParser({socket, onPiece, hasBegunChunks, isOver, turns, holdInput}: FeedOptions): void {
	const [parse] = socket.listeners('data') as Array<(piece: Buffer) => void>;
	socket.removeListener('data', parse);
	const joiner = new ChunkJoiner(pieceBytes);
	/** Whether a line begins after the last piece, or with its carriage return. */
	let isAtLineStart = false;

	const pause = (rest: Buffer): void => {
		// Node has paused a connection whose requests are not read, and resumes it itself.
		if (!socket.isPaused()) {
			socket.pause();
			turns.defer(() => {
				socket.resume();
			});
		}

		holdInput(rest.length);
		if (!isOver()) {
			socket.unshift(rest);
		}
	};

	/* Feeds the piece at a position; returns where the next one begins, undefined if more has to arrive first. */
	const feedPiece = (bytes: Buffer, start: number): number | undefined => {
		const part = joiner.next(bytes, start);
		if (part) {
			parse.call(socket, part.piece);
			onPiece(part.piece, part.end === bytes.length);
			return part.end;
		}

		if (joiner.isActive) {
			return undefined;
		}

		// A head ends with an empty line, so that the first chunk begins with a piece.
		const limit = Math.min(bytes.length, start + pieceBytes);
		const headEnd = findEmptyLine(bytes, start, limit, isAtLineStart);
		const end = headEnd ?? limit;
		const piece = bytes.subarray(start, end);
		isAtLineStart = headEnd === undefined && endsLine(piece, isAtLineStart);
		parse.call(socket, piece);
		if (headEnd !== undefined && hasBegunChunks()) {
			joiner.start();
		}

		onPiece(piece, end === bytes.length);
		return end;
	};

	socket.on('data', (read: Buffer) => {
		const bytes = joiner.takeCarry(read);
		holdInput(0);
		for (let start: number | undefined = 0; start !== undefined && start < bytes.length && !isOver();) {
			if (socket.isPaused() || start >= connectionTurnBytes || !turns.hasRoom) {
				pause(bytes.subarray(start));
				return;
			}

			const end = feedPiece(bytes, start);
			turns.use((end ?? start) - start);
			start = end;
		}
	});
}
