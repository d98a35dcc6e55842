import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {documentAgent} from '../http/document-agent.js';
import {type KeyValue} from './key-value.js';
import {PlatformError} from './platform-error.js';
import {type StoredValue} from './stored-value.js';

/* The gateway encodes 64-bit integers as strings. */
const integer = z.coerce.number();
const pair = z.object({key: z.string(), value: z.string().default(''), mod_revision: integer.default(0)});
const rangeAnswer = z.object({kvs: z.array(pair).default([])});
const transactionAnswer = z.object({succeeded: z.boolean().default(false), header: z.object({revision: integer})});
const leaseAnswer = z.object({ID: z.string()});
const keepAnswer = z.object({result: z.object({TTL: integer.default(0)})});
const watchAnswer = z.object({result: z.object({canceled: z.boolean().default(false), events: z.array(z.object({type: z.string().default('PUT'), kv: pair})).default([])})});

/** Limit on one line of a watch, which holds events that came together, characters. */
const maximumLineLength = 16 * 1024 * 1024;

const toBase64 = (text: string): string => Buffer.from(text, 'utf8').toString('base64');
const fromBase64 = (text: string): string => Buffer.from(text, 'base64').toString('utf8');

/** The smallest key after all keys that start with `prefix` (etcd's range end). */
const findRangeEnd = (prefix: string): string => {
	const bytes = Buffer.from(prefix, 'utf8');
	bytes[bytes.length - 1]++;
	return bytes.toString('base64');
};

const toStoredValue = (raw: z.infer<typeof pair>): StoredValue => ({
	key: fromBase64(raw.key),
	value: fromBase64(raw.value),
	revision: raw.mod_revision,
});

type Options = {
	readonly url: string;
	readonly timeoutMs: number;
	/** Called for each call made, to count it against the platform's budget. */
	readonly onCall: (operation: string) => void;
};

/**
 * Creates a client of the key-value service that uses etcd v3's JSON gateway.
 *
 * @see https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
 */
export function createEtcdKeyValue(options: Options): KeyValue {
	const open = async (path: string, body: unknown, signal?: AbortSignal): Promise<Dispatcher.ResponseData> => {
		options.onCall(path);
		return request(`${options.url}/v3/${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			headersTimeout: options.timeoutMs,
			...(signal ? {bodyTimeout: 0, signal} : {dispatcher: documentAgent, signal: AbortSignal.timeout(options.timeoutMs)}),
		});
	};

	/* A refused connection proves that nothing was written; after any other failure the outcome of a write is unknown. */
	const call = async <Schema extends z.ZodType>(path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, PlatformError>> => {
		try {
			const answer = await open(path, body);
			const document = await answer.body.json();
			if (answer.statusCode !== 200) {
				return err(new PlatformError(`${path}: status ${answer.statusCode}`, 'unknown'));
			}

			return ok(schema.parse(document));
		} catch (error) {
			const {code, message} = error as NodeJS.ErrnoException;
			return err(new PlatformError(`${path}: ${message}`, code === 'ECONNREFUSED' ? 'no' : 'unknown'));
		}
	};

	return {
		async get(key) {
			const answer = await call('kv/range', {key: toBase64(key)}, rangeAnswer);
			return answer.map(({kvs}) => kvs.length === 0 ? undefined : toStoredValue(kvs[0]));
		},
		async list(prefix) {
			const answer = await call('kv/range', {key: toBase64(prefix), range_end: findRangeEnd(prefix)}, rangeAnswer);
			return answer.map(({kvs}) => kvs.map(raw => toStoredValue(raw)));
		},
		async commit(transaction) {
			const answer = await call('kv/txn', {
				compare: transaction.conditions.map(({key, revision}) => ({
					key: toBase64(key), target: 'MOD', result: 'EQUAL', modRevision: String(revision),
				})),
				success: [
					...transaction.puts.map(({key, value, lease}) => ({requestPut: {key: toBase64(key), value: toBase64(value), lease: lease ?? '0'}})),
					...(transaction.deletes ?? []).map(key => ({requestDeleteRange: {key: toBase64(key)}})),
				],
			}, transactionAnswer);
			return answer.map(({succeeded, header}) => succeeded ? header.revision : undefined);
		},
		async grantLease(seconds) {
			const answer = await call('lease/grant', {TTL: String(seconds), ID: '0'}, leaseAnswer);
			return answer.map(({ID}) => ID);
		},
		async keepLease(lease) {
			const answer = await call('lease/keepalive', {ID: lease}, keepAnswer);
			return answer.map(({result}) => result.TTL > 0);
		},
		async watch(prefix, revision, onChange, signal) {
			try {
				const answer = await open('watch', {
					create_request: {key: toBase64(prefix), range_end: findRangeEnd(prefix), start_revision: String(revision + 1)},
				}, signal);
				let text = '';
				for await (const chunk of answer.body) {
					text += String(chunk);
					const lines = text.split('\n');
					text = lines.pop()!;
					if (text.length > maximumLineLength) {
						return err(new PlatformError(`watch: an event has more than ${maximumLineLength} characters`, 'no'));
					}

					for (const line of lines.filter(Boolean)) {
						const {result} = watchAnswer.parse(JSON.parse(line));
						if (result.canceled) {
							return err(new PlatformError('watch: cancelled by the service', 'no'));
						}

						for (const event of result.events.filter(({type}) => type === 'PUT')) {
							onChange(toStoredValue(event.kv));
						}
					}
				}

				return ok(undefined);
			} catch (error) {
				return err(new PlatformError(`watch: ${(error as Error).message}`, 'no'));
			}
		},
	};
}
