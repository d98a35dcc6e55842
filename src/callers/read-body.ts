import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Problem} from '../requests/problem.js';
import {runAt} from './run-at.js';
import {type CallerRequest} from './caller-request.js';

type Input = Pick<CallerRequest, 'incoming' | 'readAhead' | 'inputFailure'>;
type ReadOptions = {
	readonly maximumBytes: number;
	/** Time by which the body must have arrived, milliseconds on `clock`. */
	readonly deadline: number;
	readonly clock: () => number;
};

/** Reads the whole body of a request; returns the problem to send to its caller when it is too large, too late or breaks off. */
export async function readBody({incoming, readAhead, inputFailure}: Input, {maximumBytes, deadline, clock}: ReadOptions): Promise<Result<Uint8Array<ArrayBuffer>, Problem>> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	let isSettled = false;
	return new Promise(resolve => {
		const settle = (result: Result<Uint8Array<ArrayBuffer>, Problem>): void => {
			isSettled = true;
			cancel();
			inputFailure.removeEventListener('abort', handleFailure);
			incoming.off('data', handleData).off('end', handleEnd).off('error', handleError).off('close', handleClose);
			// The rest is discarded.
			incoming.resume();
			resolve(result);
		};

		const fail = (status: number, title: string, detail: string): void => {
			settle(err(new Problem({
				status, title, detail, outcome: 'not-run',
			})));
		};

		const handleFailure = (): void => {
			// What cannot be read may follow the request.
			if (!incoming.complete) {
				settle(err(inputFailure.reason as Problem));
			}
		};

		const handleData = (chunk: Buffer): void => {
			chunks.push(chunk);
			bytes += chunk.length;
			if (bytes > maximumBytes) {
				fail(413, 'Body too large', `at most ${maximumBytes} bytes are accepted`);
			}
		};

		const handleEnd = (): void => {
			settle(ok(new Uint8Array(Buffer.concat(chunks))));
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
		inputFailure.addEventListener('abort', handleFailure);
		for (const chunk of readAhead?.take() ?? []) {
			handleData(chunk);
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
