import {err} from 'neverthrow';
import {z} from 'zod';
import {hashText} from '../../routing/hash-text.js';
import {type TableSnapshot} from '../../table/table-snapshot.js';
import {type Exchange} from '../exchange.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

type ServiceFilterOptions = {
	readonly getKind: (service: string) => 'model' | 'plain' | undefined;
	readonly getTable: () => TableSnapshot | undefined;
};

const modelPaths = new Set(['/v1/chat/completions', '/v1/completions']);
const plainPath = /^\/services\/(?<service>[\w.\-]+)(?<rest>\/.*)?$/v;
/** Characters at the start of a prompt that are hashed to find an engine that may still have them in its cache. */
const prefixCharacters = 512;
/** Tokens that an answer is taken to have when the caller sets no `max_tokens`. */
const defaultAnswerTokens = 256;
/** Characters of an unknown service's name that are repeated in the answer. */
const maximumNameLength = 100;
/** Approximate characters per token of a prompt. */
const charactersPerToken = 4;

const modelBody = z.looseObject({
	model: z.string(),
	prompt: z.string().optional(),
	messages: z.array(z.looseObject({})).optional(),
	max_tokens: z.int().positive().optional(),
});

/** Finds the service by the model's name (model services) or by the path (plain services), and its row in the table. */
export function makeServiceFilter(options: ServiceFilterOptions): Filter {
	return async (exchange, next) => {
		const problem = modelPaths.has(exchange.url) ? readModelRequest(exchange) : readPlainRequest(exchange);
		if (problem) {
			return err(problem);
		}

		const kind = options.getKind(exchange.service);
		if (kind !== exchange.kind) {
			const detail = `no ${exchange.kind} service is called "${exchange.service.slice(0, maximumNameLength)}"`;
			// Metrics and explanations keep the names of services: callers must not add to them.
			exchange.service = '';
			return err(new Problem({
				status: 404, title: 'No such service', detail, outcome: 'not-run',
			}));
		}

		exchange.row = options.getTable()?.findRow(exchange.service, exchange.organisation, '*');
		return next();
	};
}

function readModelRequest(exchange: Exchange): Problem | undefined {
	let document: unknown;
	try {
		document = JSON.parse(new TextDecoder().decode(exchange.body));
	} catch (error) {
		return makeBadRequest(`expected a JSON body: ${(error as Error).message}`);
	}

	const parsed = modelBody.safeParse(document);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		return makeBadRequest(`body, ${issue.path.join('.')}: ${issue.message}`);
	}

	const prompt = parsed.data.prompt ?? JSON.stringify(parsed.data.messages ?? []);
	exchange.kind = 'model';
	exchange.service = parsed.data.model;
	exchange.path = exchange.url;
	exchange.prefixHash = hashText(`${exchange.organisation} ${prompt.slice(0, prefixCharacters)}`);
	exchange.tokens = Math.ceil(prompt.length / charactersPerToken) + (parsed.data.max_tokens ?? defaultAnswerTokens);
	return undefined;
}

function readPlainRequest(exchange: Exchange): Problem | undefined {
	const groups = plainPath.exec(exchange.url)?.groups;
	if (!groups) {
		return new Problem({
			status: 404, title: 'No such path', detail: `expected /services/<name>/..., ${[...modelPaths].join(' or ')}`, outcome: 'not-run',
		});
	}

	exchange.kind = 'plain';
	exchange.service = groups.service;
	exchange.path = groups.rest ?? '/';
	return undefined;
}

function makeBadRequest(detail: string): Problem {
	return new Problem({
		status: 400, title: 'Bad request', detail, outcome: 'not-run',
	});
}
