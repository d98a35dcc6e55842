import {request} from 'undici';
import {z} from 'zod';
import {documentAgent} from '../http/document-agent.js';
import {EngineMapState} from './engine-map-state.js';
import {type EngineClient} from './engine-client.js';

/** Time within which an engine must answer, milliseconds; staging takes longer, since weights are loaded. */
const timeoutMs = 5000;
const stageTimeoutMs = 120_000;
const takenStatus = 200;
const refusedStatus = 409;

/** Creates an HTTP client for an engine's map orders: `GET /maps`, `POST /maps/stage`, `/maps/prepare`, `/maps/decide`. */
export function createEngineClient(url: string): EngineClient {
	const order = async (name: string, body: unknown, answerMs: number): Promise<boolean> => {
		const answer = await request(`${url}/maps/${name}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: documentAgent,
			headersTimeout: answerMs,
			signal: AbortSignal.timeout(answerMs),
		});
		await answer.body.dump();
		if (answer.statusCode !== takenStatus && answer.statusCode !== refusedStatus) {
			throw new Error(`engine answered status ${answer.statusCode} to order ${name}`);
		}

		return answer.statusCode === takenStatus;
	};

	return {
		async read() {
			const answer = await request(`${url}/maps`, {dispatcher: documentAgent, signal: AbortSignal.timeout(timeoutMs)});
			return z.parse(EngineMapState, await answer.body.json());
		},
		stage: async message => order('stage', message, stageTimeoutMs),
		prepare: async message => order('prepare', message, timeoutMs),
		decide: async message => order('decide', message, timeoutMs),
	};
}
