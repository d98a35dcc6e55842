import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {Problem} from '../requests/problem.js';

type ReadOptions = {
	readonly maximumBytes: number;
	/** Ends the reading; its reason is the problem to send to the caller. */
	readonly signal: AbortSignal;
};

/** Reads the whole body of a request; returns the problem to send to its caller when it is too large, breaks off or is given up. */
export async function readBody(incoming: IncomingMessage, {maximumBytes, signal}: ReadOptions): Promise<Result<Uint8Array<ArrayBuffer>, Problem>> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	return new Promise(resolve => {
		const settle = (result: Result<Uint8Array<ArrayBuffer>, Problem>): void => {
			signal.removeEventListener('abort', handleAbort);
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

		const handleAbort = (): void => {
			settle(err(signal.reason as Problem));
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

		incoming.on('data', handleData).on('end', handleEnd).on('error', handleError).on('close', handleClose);
		if (signal.aborted && !incoming.complete) {
			handleAbort();
		} else {
			signal.addEventListener('abort', handleAbort);
		}
	});
}
