import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {ClaimStore} from '../../once/claim-store.js';
import {makeClaimGuard} from '../../once/make-claim-guard.js';
import {makeUnkeyedGuard} from '../../once/make-unkeyed-guard.js';
import {makeTicketGuard} from '../../once/make-ticket-guard.js';
import {readTicket} from '../../once/read-ticket.js';
import {type RunGuard} from '../../once/run-guard.js';
import {type Dispatcher} from '../dispatcher.js';
import {type Exchange} from '../exchange.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

type DispatchFilterOptions = {
	readonly dispatcher: Dispatcher;
	readonly claims: ClaimStore;
	readonly linkKey: string;
	readonly clock: () => number;
};

/** Last filter of the chain: dispatches the request under the guard against repeated runs that its caller asked for (ticket, key or none). */
export function makeDispatchFilter(options: DispatchFilterOptions): Filter {
	return async exchange => {
		const guard = makeGuard(exchange, options);
		return guard.isErr() ? err(guard.error) : options.dispatcher.run(exchange, guard.value);
	};
}

function makeGuard(exchange: Exchange, options: DispatchFilterOptions): Result<RunGuard, Problem> {
	if (exchange.ticket !== undefined) {
		return checkTicket(exchange, options);
	}

	if (exchange.key !== undefined) {
		const bodyHash = createHash('sha256').update(`${exchange.method} ${exchange.path}\n`).update(exchange.body).digest('hex');
		return ok(makeClaimGuard({
			store: options.claims,
			key: ClaimStore.getKey(exchange.service, exchange.organisation, exchange.key),
			owner: exchange.id,
			bodyHash,
			clock: options.clock,
		}));
	}

	return ok(makeUnkeyedGuard(exchange.isRepeatable));
}

function checkTicket(exchange: Exchange, options: DispatchFilterOptions): Result<RunGuard, Problem> {
	const ticket = readTicket(exchange.ticket!, options.linkKey);
	const isForRequest = ticket?.service === exchange.service && ticket.organisation === exchange.organisation;
	if (!ticket || !isForRequest) {
		return err(new Problem({
			status: 400, title: 'Bad ticket', detail: 'Wardswitch-Ticket: expected a ticket of this service and organisation', outcome: 'not-run',
		}));
	}

	if (options.clock() >= ticket.expiresAt) {
		return err(new Problem({
			status: 409, title: 'Ticket expired', detail: 'this call did not run; whether an earlier one with the ticket did is not known', outcome: 'not-run', keyState: 'unknown',
		}));
	}

	return ok(makeTicketGuard(ticket));
}
