import {randomUUID} from 'node:crypto';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {type TargetPool} from '../../calls/target-pool.js';
import {signTicket} from '../../once/sign-ticket.js';
import {type Filter} from '../filter.js';
import {Problem} from '../problem.js';

type TicketFilterOptions = {
	readonly pool: TargetPool;
	readonly linkKey: string;
	readonly clock: () => number;
	readonly random: () => number;
};

/** How long a ticket is valid, milliseconds. */
const ticketLifetimeMs = 600_000;
const TicketRequest = z.object({service: z.string()});

const parseTicketRequest = (body: Uint8Array): z.infer<typeof TicketRequest> | undefined => {
	try {
		return TicketRequest.parse(JSON.parse(new TextDecoder().decode(body)));
	} catch {
		return undefined;
	}
};

/** Last filter of `POST /tickets`: issues a ticket for one run at a target process that is ready now. */
export function makeTicketFilter(options: TicketFilterOptions): Filter {
	return async exchange => {
		const parsed = parseTicketRequest(exchange.body);
		if (!parsed) {
			return err(new Problem({
				status: 400, title: 'Bad request', detail: 'expected a JSON body {"service": "<name>"}', outcome: 'not-run',
			}));
		}

		const now = options.clock();
		const link = options.pool.choose({
			service: parsed.service, prefixHash: undefined, random: options.random, excluded: new Set(), now,
		});
		if (!link?.incarnation) {
			return err(new Problem({
				status: 503, title: 'No target takes requests', detail: `no target of ${parsed.service} is ready`, outcome: 'not-run', retryAfterMs: 1000,
			}));
		}

		options.pool.noteResult(link.vm.id, true, now);
		const ticket = {
			id: randomUUID(), service: parsed.service, organisation: exchange.organisation, target: link.vm.id, incarnation: link.incarnation, expiresAt: now + ticketLifetimeMs,
		};
		exchange.prepareHead();
		exchange.response.writeHead(201, {'content-type': 'application/json'});
		exchange.response.end(JSON.stringify({ticket: signTicket(ticket, options.linkKey), target: ticket.target, expiresAt: new Date(ticket.expiresAt).toISOString()}));
		return ok();
	};
}
