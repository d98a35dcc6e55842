import {type HeaderDialect} from '../../src/forward/header-dialect.js';
import {listSharedParts} from '../../src/forward/list-shared-parts.js';
import {readRate} from '../../src/forward/read-rate.js';
import {readRetryAfter} from '../../src/forward/read-retry-after.js';

const requestId = 'x-request';
const deadline = 'x-deadline';
const target = 'x-target';
const organisation = 'x-organisation';
const prompt = 'x-prompt';
const lastEvent = 'last-event-id';

const toNumber = (text: unknown): number | undefined => text === undefined ? undefined : Number(text);

/** The header dialect of the stand-in targets. */
export const plainDialect: HeaderDialect = {
	readRequest: headers => ({
		id: headers[requestId] as string | undefined,
		deadlineMs: toNumber(headers[deadline]),
		lastEventId: toNumber(headers[lastEvent]),
		promptParts: listSharedParts(headers[prompt] as string | undefined),
	}),
	makeRequestHeaders: marks => ({
		[target]: marks.targetId,
		[deadline]: String(marks.remainingMs),
		...(marks.organisation !== undefined && {[organisation]: marks.organisation}),
		...(marks.lastEventId !== undefined && {[lastEvent]: String(marks.lastEventId)}),
	}),
	reservedHeaders: new Set(['authorization', deadline, target, organisation, lastEvent]),
	readAnswer: (status, headers) => ({
		status,
		requestId: headers.get(requestId),
		targetId: headers.get('x-answered-by'),
		isNotRun: headers.has('x-not-run') || status === 421,
		isGroupDown: headers.has('x-group-down'),
		isMisdirected: status === 421,
		isSigned: headers.has('x-signed'),
		isLeaving: headers.has('x-leaving'),
		retryAfterMs: status === 503 || status === 429 ? readRetryAfter(headers) : undefined,
		limit: headers.has('x-limit') ? {perSecond: readRate(headers.get('x-limit')!)} : undefined,
		retryAfterText: headers.get('retry-after'),
	}),
};
