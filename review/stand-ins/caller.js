import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {once} from 'node:events';

/** A client with kept connections. */
export class Caller {
	#agent = new Agent({keepAlive: true});
	#count = 0;

	constructor({host, port, record, name = 'request'}) {
		Object.assign(this, {
			host, port, record, name,
		});
	}

	/** Sends one request; resolves with its status, whether the answer was whole, and its body. */
	async send({path, method = 'POST', body = 'x', deadlineMs = 8000, headers = {}, isQuiet = false}) {
		this.#count++;
		const id = `${this.name}-${this.#count}`;
		const sentHeaders = {
			host: 'desk.example', 'wardswitch-request-id': id, 'wardswitch-deadline-ms': String(deadlineMs), ...headers,
		};
		const request = httpRequest({
			host: this.host, port: this.port, path, method, agent: this.#agent, headers: sentHeaders,
		});
		const sentAt = performance.now();
		if (!isQuiet) {
			this.record.note(`client: sends ${id}`);
		}

		request.end(method === 'POST' ? body : undefined);
		const result = {
			id, sentAt, status: undefined, isWhole: false, body: '',
		};
		try {
			const [answer] = await once(request, 'response');
			result.status = answer.statusCode;
			const chunks = [];
			for await (const chunk of answer) {
				chunks.push(chunk);
			}

			result.body = Buffer.concat(chunks).toString('latin1');
			result.isWhole = answer.complete;
		} catch (error) {
			result.error = error.message;
		}

		result.endedAt = performance.now();
		if (!isQuiet) {
			this.record.note(`client: ${id} ended with ${result.status ?? result.error}${result.isWhole ? '' : ', not whole'} after ${Math.round(result.endedAt - sentAt)} ms`);
		}

		return result;
	}

	close() {
		this.#agent.destroy();
	}
}
