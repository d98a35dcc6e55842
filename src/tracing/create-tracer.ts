import {trace, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
	AlwaysOnSampler, BasicTracerProvider, BatchSpanProcessor, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';

/** Maximum time for which a span waits to be exported in a batch, milliseconds. */
const spanBatchDelayMs = 1000;

/** Creates the tracer of a process. Spans are recorded only if there is an OTLP URL or an exporter. */
export function createTracer(otlpUrl: string | undefined, exporter?: SpanExporter): Tracer {
	const spanExporter = exporter ?? (otlpUrl === undefined ? undefined : new OTLPTraceExporter({url: otlpUrl}));
	if (!spanExporter) {
		// The API's no-op tracer still propagates the caller's context.
		return trace.getTracer('wardswitch');
	}

	const provider = new BasicTracerProvider({
		sampler: new AlwaysOnSampler(),
		spanProcessors: [new BatchSpanProcessor(spanExporter, {scheduledDelayMillis: spanBatchDelayMs})],
	});
	return provider.getTracer('wardswitch');
}
