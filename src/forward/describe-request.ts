import {type Problem} from '../requests/problem.js';
import {type ForwardExchange} from './forward-exchange.js';

type Circumstances = {
	/** Era of the store that the view is of. */
	readonly era: number;
	/** How long ago the view of the store was known to be current, milliseconds. */
	readonly viewAgeMs: number;
	readonly now: number;
};

/** One log line on a request: its id, what was decided on which grounds, how old these were, and the outcome. */
export function describeRequest(exchange: ForwardExchange, problem: Problem | undefined, {era, viewAgeMs, now}: Circumstances): string {
	const {metadata: marks, route, service, configurationVersion, response, decisions: trail, arrivedAt, disconnection: departure} = exchange;
	const outcome = problem ? `${problem.options.status} ${problem.options.outcome}: ${problem.message}` : String(response.statusCode);
	const comeBack = problem?.options.retryAfterMs ? `, come back in ${Math.round(problem.options.retryAfterMs)} ms` : '';
	const left = departure.signal.aborted ? ', caller left or was cut off' : '';
	const decisions = trail.length > 0 ? `; ${trail.join('; ')}` : '';
	const grounds = `configuration ${configurationVersion}, view of era ${era} ${Math.round(viewAgeMs)} ms old`;
	return `${marks.id ?? '-'} ${route?.name ?? '-'} ${service || '-'}: ${outcome}${comeBack}${left} after ${Math.round(now - arrivedAt)} ms, ${grounds}${decisions}`;
}
