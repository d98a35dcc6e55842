import {err} from 'neverthrow';
import {readBody} from '../../callers/read-body.js';
import {type CallerRequest} from '../../callers/caller-request.js';
import {type Filter} from '../filter.js';

type BodyOptions = Pick<Parameters<typeof readBody>[1], 'maximumBytes' | 'deadline' | 'clock'>;

/** Creates the filter that reads the body of a request; one that is too large, late or incomplete is refused. */
export function makeBodyFilter(request: CallerRequest, options: BodyOptions): Filter {
	return async (exchange, next) => {
		const body = await readBody(request, options);
		if (body.isErr()) {
			return err(body.error);
		}

		exchange.body = body.value;
		return next();
	};
}
