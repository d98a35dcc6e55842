import {err} from 'neverthrow';
import {type Exchange} from '../exchange.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

/* Member `u` of the `Priority` header (RFC 9218), 0 to 7. */
const urgencyMember = /(?:^|,)\s*u=(?<urgency>[0-7])\s*(?:[,;]|$)/v;
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
/** Characters of an idempotency key at most. */
const maximumKeyLength = 255;

/** Reads the caller's options from the headers: deadline, priority, and whether the request may be repeated. */
export function makeCallOptionsFilter(defaultTimeoutMs: number): Filter {
	return async (exchange, next) => {
		const problem = readTimeout(exchange, defaultTimeoutMs) ?? readRepetition(exchange);
		if (problem) {
			return err(problem);
		}

		const urgency = urgencyMember.exec(String(exchange.headers.priority ?? ''))?.groups?.urgency;
		const rowUrgency = exchange.row?.urgency ?? exchange.urgency;
		// A caller may lower the priority of its request, but not raise it above that of its row.
		exchange.urgency = urgency === undefined ? rowUrgency : Math.max(rowUrgency, Number(urgency));
		return next();
	};
}

function readTimeout(exchange: Exchange, defaultTimeoutMs: number): Problem | undefined {
	const text = exchange.headers['wardswitch-timeout'];
	const seconds = text === undefined ? defaultTimeoutMs / 1000 : Number(text);
	if (!(seconds > 0)) {
		return makeBadRequest(`Wardswitch-Timeout: expected a number of seconds above 0, not "${String(text)}"`);
	}

	exchange.deadline = exchange.arrivedAt + (seconds * 1000);
	return undefined;
}

function readRepetition(exchange: Exchange): Problem | undefined {
	const repeatable = exchange.headers['wardswitch-repeatable'];
	if (repeatable !== undefined && repeatable !== 'yes' && repeatable !== 'no') {
		return makeBadRequest(`Wardswitch-Repeatable: expected "yes" or "no", not "${String(repeatable)}"`);
	}

	const key = exchange.headers['idempotency-key'];
	const ticket = exchange.headers['wardswitch-ticket'];
	if (key !== undefined && (String(key).length === 0 || String(key).length > maximumKeyLength)) {
		return makeBadRequest(`Idempotency-Key: expected 1 to ${maximumKeyLength} characters`);
	}

	if (repeatable === 'no' && key === undefined && ticket === undefined) {
		return makeBadRequest('Idempotency-Key: expected with "Wardswitch-Repeatable: no"');
	}

	const isRepeatableByDefault = exchange.kind === 'model' || safeMethods.has(exchange.method);
	exchange.key = repeatable === 'yes' || key === undefined ? undefined : String(key);
	exchange.ticket = repeatable === 'yes' || ticket === undefined ? undefined : String(ticket);
	exchange.isRepeatable = repeatable === undefined ? isRepeatableByDefault : repeatable === 'yes';
	return undefined;
}

function makeBadRequest(detail: string): Problem {
	return new Problem({
		status: 400, title: 'Bad request', detail, outcome: 'not-run',
	});
}
