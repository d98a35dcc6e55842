import {ok, type Result} from 'neverthrow';
import {type Filter} from './filter.js';
import {type Problem} from './problem.js';

/** Runs a chain of filters from `index` on; each decides whether the next one runs. */
export async function runFilters<Subject>(filters: ReadonlyArray<Filter<Subject>>, subject: Subject, index = 0): Promise<Result<void, Problem>> {
	if (index === filters.length) {
		return ok();
	}

	return filters[index](subject, async () => runFilters(filters, subject, index + 1));
}
