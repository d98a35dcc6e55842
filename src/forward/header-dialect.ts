import {type IncomingHttpHeaders} from 'node:http';
import {type AnswerMetadata} from './answer-metadata.js';
import {type RequestMetadata} from './request-metadata.js';

type SendMarks = {
	readonly targetId: string;
	readonly organisation: string | undefined;
	/** Time that is left for the answer, milliseconds. */
	readonly remainingMs: number;
	/** Event after which a stream is to go on. */
	readonly lastEventId: number | undefined;
};

/** The headers by which callers, entries and targets label requests and answers; names differ between platforms. */
export type HeaderDialect = {
	/** Names, in lower case, that only this process may set towards a target. */
	readonly reservedHeaders: ReadonlySet<string>;
	readRequest(headers: IncomingHttpHeaders): RequestMetadata;
	/** Labels a request for one target, names in lower case. */
	makeRequestHeaders(marks: SendMarks): Record<string, string>;
	/** @param headers - names in lower case */
	readAnswer(status: number, headers: ReadonlyMap<string, string>): AnswerMetadata;
};
