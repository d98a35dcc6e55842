type SpanDocument = {readonly name: string; readonly traceId: string};

/** A running stand-in of an OTLP/HTTP collector; `spans` holds the received spans. */
export type TraceCollector = {
	readonly url: string;
	readonly spans: SpanDocument[];
	close(): void;
};
