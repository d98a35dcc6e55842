import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {ChunkList} from '../memory/chunk-list.js';
import {Problem} from '../requests/problem.js';
import {makeMemoryProblem} from './make-memory-problem.js';
import {runAt} from './run-at.js';
import {type CallerRequest} from './caller-request.js';

type Input = Pick<CallerRequest, 'incoming' | 'readAhead' | 'inputFailure' | 'memory'>;
type ReadOptions = {
	readonly maximumBytes: number;
	/** Time by which the body must have arrived, milliseconds on `clock`. */
	readonly deadline: number;
	readonly clock: () => number;
	/** Registers the function that refuses the request while its body arrives; returns a function that ends that. */
	readonly watch?: (refuse: (problem: Problem) => void) => () => void;
};

/* Joins the chunks of a body; one that has arrived in one piece is not copied. */
const join = (chunks: readonly Buffer[]): Uint8Array<ArrayBuffer> => {
	const {buffer, byteOffset, length} = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
	return new Uint8Array(buffer as ArrayBuffer, byteOffset, length);
};

/**
 * Reads the whole body of a request; returns the problem to send to its caller when it is too large, too late or breaks off, or when there
 * is no memory for it.
 */
export async function readBody({incoming, readAhead, inputFailure, memory}: Input, {maximumBytes, deadline, clock, watch}: ReadOptions): Promise<Result<Uint8Array<ArrayBuffer>, Problem>> {
	const chunks = new ChunkList();
	let isSettled = false;
	/** Bytes counted in the budget for what has been read. */
	let countedBytes = 0;
	return new Promise(resolve => {
		const settle = (result: Result<Uint8Array<ArrayBuffer>, Problem>): void => {
			isSettled = true;
			cancel();
			endWatch?.();
			inputFailure.removeEventListener('abort', handleFailure);
			incoming.off('data', handleData).off('end', handleEnd).off('error', handleError).off('close', handleClose);
			// The rest is discarded.
			incoming.resume();
			resolve(result);
		};

		const drop = (problem: Problem): void => {
			chunks.take();
			memory.grow('body', -countedBytes);
			settle(err(problem));
		};

		const fail = (status: number, title: string, detail: string): void => {
			drop(new Problem({
				status, title, detail, outcome: 'not-run',
			}));
		};

		const handleFailure = (): void => {
			// What cannot be read may follow the request.
			if (!incoming.complete) {
				drop(inputFailure.reason as Problem);
			}
		};

		const handleData = (chunk: Buffer): void => {
			memory.noteBody();
			chunks.push(chunk);
			if (chunks.length > maximumBytes) {
				fail(413, 'Body too large', `at most ${maximumBytes} bytes are accepted`);
			} else if (chunks.heldBytes > countedBytes) {
				count();
			}
		};

		const count = (): void => {
			if (memory.grow('body', chunks.heldBytes - countedBytes)) {
				countedBytes = chunks.heldBytes;
			} else {
				drop(makeMemoryProblem());
			}
		};

		const handleEnd = (): void => {
			const body = join(chunks.take());
			memory.grow('body', body.length - countedBytes);
			settle(ok(body));
		};

		const handleError = (error: Error): void => {
			fail(400, 'Bad request', `the body broke off: ${error.message}`);
		};

		const handleClose = (): void => {
			fail(400, 'Bad request', 'the body broke off');
		};

		const cancel = runAt(deadline, clock, () => {
			fail(408, 'Body too late', 'the body had not arrived at the deadline');
		});
		const endWatch = watch?.(drop);
		if (memory.isShort) {
			drop(makeMemoryProblem());
			return;
		}

		inputFailure.addEventListener('abort', handleFailure);
		for (const chunk of readAhead?.take() ?? []) {
			if (!isSettled) {
				handleData(chunk);
			}
		}

		if (isSettled) {
			return;
		}

		incoming.on('data', handleData).on('end', handleEnd).on('error', handleError).on('close', handleClose);
		if (incoming.readableEnded) {
			handleEnd();
		} else if (inputFailure.aborted) {
			handleFailure();
		}

		incoming.resume();
	});
}
