import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {err} from 'neverthrow';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

/** Reads the body of a request; one of more than `maximumBytes` is refused with status 413. */
export function makeBodyFilter(incoming: IncomingMessage, maximumBytes: number): Filter {
	return async (exchange, next) => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		try {
			for await (const chunk of incoming) {
				chunks.push(chunk as Buffer);
				bytes += (chunk as Buffer).length;
				if (bytes > maximumBytes) {
					return err(new Problem({
						status: 413, title: 'Body too large', detail: `at most ${maximumBytes} bytes are accepted`, outcome: 'not-run',
					}));
				}
			}
		} catch {
			return err(new Problem({
				status: 400, title: 'Bad request', detail: 'the body broke off', outcome: 'not-run',
			}));
		}

		exchange.body = new Uint8Array(Buffer.concat(chunks));
		return next();
	};
}
