import {request, type Dispatcher} from 'undici';
import {type Reply} from './reply.js';
import {tokens} from './tokens.js';

type RequestOptions = {
	readonly port: number;
	readonly path: string;
	readonly method?: Dispatcher.HttpMethod;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly signal?: AbortSignal;
};

/** Sends a request as a caller of the organisation `granite` and reads the reply until it ends or breaks off. */
export async function sendRequest(options: RequestOptions): Promise<Reply> {
	let status = 0;
	let headers = {};
	let text = '';
	try {
		const answer = await request(`http://127.0.0.1:${options.port}${options.path}`, {
			method: options.method ?? 'POST',
			headers: {authorization: `Bearer ${tokens.granite}`, ...options.headers},
			body: options.body,
			signal: options.signal,
		});
		status = answer.statusCode;
		({headers} = answer);
		for await (const chunk of answer.body) {
			text += String(chunk);
		}

		return {
			status, headers, text, isComplete: true,
		};
	} catch {
		return {
			status, headers, text, isComplete: false,
		};
	}
}
