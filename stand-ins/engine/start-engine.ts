import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type EngineGroup} from './engine-group.js';
import {type Engine} from './engine.js';

type ChatBody = {stream?: boolean; max_tokens?: number; messages?: Array<{content: string}>; prompt?: string};

type EngineOptions = {
	readonly group: EngineGroup;
	readonly rank: number;
	/** Tokens in an answer if the request sets no `max_tokens`. */
	readonly defaultTokens: number;
	/** Whether an answer is written at one token per step of the group, or all at once. */
	readonly isPaced: boolean;
	readonly port?: number;
};

const readBody = async (request: IncomingMessage): Promise<unknown> => {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text) as unknown;
};

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
};

const waitForNextStep = async (group: EngineGroup): Promise<void> => new Promise(resolve => {
	const stop = group.subscribe(() => {
		stop();
		resolve();
	});
});

const writeAnswer = async (options: EngineOptions, body: ChatBody, response: ServerResponse): Promise<void> => {
	const count = body.max_tokens ?? options.defaultTokens;
	const prompt = body.prompt ?? body.messages?.at(-1)?.content ?? '';
	const words = Array.from({length: count}, (_, index) => `${prompt}#${index} `);
	if (body.stream) {
		response.writeHead(200, {'content-type': 'text/event-stream'});
	}

	for (const word of words) {
		if (options.isPaced) {
			await waitForNextStep(options.group);
		}

		if (response.destroyed) {
			return;
		}

		if (body.stream) {
			response.write(`data: ${JSON.stringify({choices: [{index: 0, delta: {content: word}}]})}\n\n`);
		}
	}

	if (body.stream) {
		response.end('data: [DONE]\n\n');
	} else {
		sendJson(response, 200, {choices: [{index: 0, message: {role: 'assistant', content: words.join('')}, finish_reason: 'stop'}], usage: {completion_tokens: count}});
	}
};

type MapOrder = {epoch: number; fence: number; step: number; map: number[][][]; decision: string};

const applyMapOrder = (group: EngineGroup, index: number, path: string, order: MapOrder): boolean => {
	if (!group.acceptFence(index, order.fence)) {
		return false;
	}

	const rank = group.ranks[index];
	switch (path) {
		case '/maps/stage': {
			rank.staged = {epoch: order.epoch, map: order.map};
			return true;
		}

		case '/maps/prepare': {
			if (rank.staged?.epoch !== order.epoch || group.step > order.step) {
				return false;
			}

			rank.holdStep = order.step;
			return true;
		}

		default: {
			rank.switchStep = order.decision === 'commit' ? order.step : undefined;
			rank.staged = order.decision === 'commit' ? rank.staged : undefined;
			rank.holdStep = undefined;
			return true;
		}
	}
};

/** Starts one rank of a stand-in engine on loopback: OpenAI-compatible HTTP API with SSE, load reports, and orders for expert maps. */
export async function startEngine(options: EngineOptions): Promise<Engine> {
	const runs = new Map<string, number>();
	const active = new Set<string>();
	const {group, rank} = options;

	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const path = request.url!;
		if (path === '/load') {
			sendJson(response, 200, {running: active.size});
			return;
		}

		if (path === '/expert-loads') {
			const {epoch, inUse} = group.ranks[rank];
			sendJson(response, 200, {epoch, map: inUse ?? group.initialMap, loads: group.expertLoads});
			return;
		}

		if (path === '/maps') {
			const {epoch, fence, staged, holdStep, switchStep} = group.ranks[rank];
			sendJson(response, 200, {
				step: group.step, epoch, fence, stagedEpoch: staged?.epoch, holdStep, switchStep,
			});
			return;
		}

		const body = await readBody(request);
		if (path.startsWith('/maps/')) {
			const isAccepted = applyMapOrder(group, rank, path, body as MapOrder);
			sendJson(response, isAccepted ? 200 : 409, {step: group.step});
			return;
		}

		const id = String(request.headers['x-request-id'] ?? '');
		runs.set(id, (runs.get(id) ?? 0) + 1);
		engine.totalRequests++;
		if (engine.isDroppingConnections) {
			request.socket.destroy();
			return;
		}

		active.add(id);
		response.on('close', () => active.delete(id));
		await writeAnswer(options, body as ChatBody, response);
	};

	const server = createServer((request, response) => {
		serve(request, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
	server.listen(options.port ?? 0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const engine: Engine = {
		url: `http://127.0.0.1:${port}`,
		port,
		runs,
		active,
		totalRequests: 0,
		isDroppingConnections: false,
		async close() {
			server.close();
			server.closeAllConnections();
			await Promise.resolve();
		},
	};
	return engine;
}
