import {trace, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	AlwaysOnSampler, BasicTracerProvider, BatchSpanProcessor, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';

/** Longest time that a span waits to be sent with others, milliseconds. */
const spanBatchDelayMs = 1000;

/** Makes the tracer of a process; spans are recorded only if there is somewhere to send them. */
export function createTracer(otlpUrl: string | undefined, exporter?: SpanExporter): Tracer {
	const spanExporter = exporter ?? (otlpUrl === undefined ? undefined : new OTLPTraceExporter({url: otlpUrl}));
	if (!spanExporter) {
		// The API's own tracer does nothing and passes the caller's context on.
		return trace.getTracer('wardswitch');
	}

	const provider = new BasicTracerProvider({
		sampler: new AlwaysOnSampler(),
		spanProcessors: [new BatchSpanProcessor(spanExporter, {scheduledDelayMillis: spanBatchDelayMs})],
	});
	return provider.getTracer('wardswitch');
}
