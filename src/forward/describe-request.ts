import {type Problem} from '../requests/problem.js';
import {type ForwardExchange} from './forward-exchange.js';

type ViewState = {
	/** Era of the store that the view reflects. */
	readonly era: number;
	/** Time since the view of the store was last known to be current, milliseconds. */
	readonly viewAgeMs: number;
	/** Number of open links to other entries that have been silent for longer than reports may take. */
	readonly silentLinks: number;
	readonly now: number;
};

/** Returns the log line on one request: its id, the outcome, the configuration and view it was based on, and the decisions taken. */
export function describeRequest(exchange: ForwardExchange, problem: Problem | undefined, {era, viewAgeMs, silentLinks, now}: ViewState): string {
	const {metadata, route, service, configurationVersion, response, decisions, arrivedAt, disconnection} = exchange;
	const outcome = problem ? `${problem.options.status} ${problem.options.outcome}: ${problem.message}` : String(response.statusCode);
	const retry = problem?.options.retryAfterMs ? `, retry in ${Math.round(problem.options.retryAfterMs)} ms` : '';
	const disconnected = disconnection.signal.aborted ? ', connection to caller closed early' : '';
	const trail = decisions.length > 0 ? `; ${decisions.join('; ')}` : '';
	const silence = silentLinks > 0 ? `, ${silentLinks} links silent` : '';
	const basis = `configuration ${configurationVersion}, view of era ${era} ${Math.round(viewAgeMs)} ms old${silence}`;
	return `${metadata.id ?? '-'} ${route?.name ?? '-'} ${service || '-'}: ${outcome}${retry}${disconnected} after ${Math.round(now - arrivedAt)} ms, ${basis}${trail}`;
}
