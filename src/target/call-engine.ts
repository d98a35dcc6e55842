import {request as sendRequest, type Dispatcher} from 'undici';
import {EngineRefusal} from './engine-refusal.js';
import {type Execution} from './execution.js';

type CallOptions = {
	/** Base URL of the engine or service. */
	readonly url: string;
	readonly dispatcher: Dispatcher;
	/** Latest version of the table that this process knows of; sent with the head of the answer. */
	readonly tableVersion: () => number;
	/** The present time, milliseconds. */
	readonly clock: () => number;
};

const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'te', 'trailer']);
/** Error codes of a connection that was never opened; any other error may come after the request was sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Statuses of successful answers that have no body. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 205]);

const removeHopByHopHeaders = (headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> =>
	Object.fromEntries(Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
		entry[1] !== undefined && !hopByHopHeaders.has(entry[0])));

/*
 * Whether an answer is whole without a body. One without a length that ends right after its head is far more often cut than meant to be
 * empty; an engine that means it can say so by a length of 0 or a status.
 */
const mayBeEmpty = (method: string, {statusCode, headers}: Dispatcher.ResponseData): boolean => statusCode < 200 || statusCode >= 300
	|| method === 'HEAD' || statusesWithoutBody.has(statusCode) || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/* Copies the parts, since the chunk is a view of a read buffer many times its size, which a buffered part would keep in memory. */
const split = (chunk: Uint8Array, maximumBytes: number): Array<Uint8Array<ArrayBuffer>> => {
	const parts: Array<Uint8Array<ArrayBuffer>> = [];
	for (let start = 0; start < chunk.length; start += maximumBytes) {
		parts.push(new Uint8Array(chunk.subarray(start, start + maximumBytes)));
	}

	return parts;
};

/**
 * Sends a request to the engine and adds its answer, part by part, to the execution. There is no time-out: the entry cancels.
 *
 * @throws EngineRefusal when no connection to the engine could be opened
 * @throws Error when the request failed later or the answer broke off
 */
export async function callEngine(execution: Execution, options: CallOptions): Promise<void> {
	const {request} = execution;
	let answer: Dispatcher.ResponseData;
	try {
		answer = await sendRequest(options.url + request.path, {
			method: request.method,
			headers: {...request.headers, 'x-request-id': request.id},
			body: request.body.length === 0 ? undefined : request.body,
			dispatcher: options.dispatcher,
			signal: execution.abort.signal,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	} catch (error) {
		const {code, message} = error as NodeJS.ErrnoException;
		throw connectFailureCodes.has(code ?? '') ? new EngineRefusal(message) : error;
	}

	execution.addPart({
		type: 'head',
		status: answer.statusCode,
		headers: removeHopByHopHeaders(answer.headers),
		tableVersion: options.tableVersion(),
	}, options.clock());
	let hasBody = false;
	for await (const chunk of answer.body) {
		hasBody = true;
		for (const part of split(chunk as Uint8Array, execution.maximumPartBytes)) {
			execution.addPart({type: 'data', chunk: part}, options.clock());
			await execution.waitForRoom();
		}
	}

	if (!hasBody && !mayBeEmpty(request.method, answer)) {
		throw new Error('the answer ended after its head');
	}

	execution.addPart({type: 'end'}, options.clock());
}
