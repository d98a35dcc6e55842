import {type Result} from 'neverthrow';
import {type Exchange} from './exchange.js';
import {type Problem} from './problem.js';

/** One link of the filter chain: it calls `next` to go on, or ends the chain with its own answer or a problem. */
export type Filter<Subject = Exchange> = (exchange: Subject, next: () => Promise<Result<void, Problem>>) => Promise<Result<void, Problem>>;
