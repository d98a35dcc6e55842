import {type IncomingHttpHeaders} from 'node:http';
import {type AnswerMetadata} from './answer-metadata.js';
import {type RequestMetadata} from './request-metadata.js';

type RequestLabels = {
	readonly targetId: string;
	readonly organisation: string | undefined;
	/** Time that is left for the answer, milliseconds. */
	readonly remainingMs: number;
	/** Id of the event after which a stream is to resume. */
	readonly lastEventId: number | undefined;
};

/** Encodes and decodes the headers that callers, entries and targets exchange; their names differ between platforms. */
export type HeaderDialect = {
	/** Names, in lower case, that are removed from a caller's request because only this process may set them. */
	readonly reservedHeaders: ReadonlySet<string>;
	readRequest(headers: IncomingHttpHeaders): RequestMetadata;
	/** Returns the headers to add to a request for one target, names in lower case. */
	makeRequestHeaders(labels: RequestLabels): Record<string, string>;
	/** @param headers - names in lower case */
	readAnswer(status: number, headers: ReadonlyMap<string, string>): AnswerMetadata;
};
