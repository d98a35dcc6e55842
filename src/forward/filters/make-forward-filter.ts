import {type Filter} from '../../requests/filter.js';
import {type ForwardDispatcher} from '../forward-dispatcher.js';
import {type ForwardExchange} from '../forward-exchange.js';

/** Creates the last filter, which sends the request to a target. */
export function makeForwardFilter(dispatcher: ForwardDispatcher): Filter<ForwardExchange> {
	return async exchange => dispatcher.run(exchange);
}
