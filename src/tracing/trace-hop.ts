import {
	ROOT_CONTEXT, SpanStatusCode, trace, type Span, type Tracer,
} from '@opentelemetry/api';

/** Runs the work of one hop in a child span of `parent`. The span ends with the work and gets an error status if the work fails. */
export async function traceHop<Value>(tracer: Tracer, name: string, parent: Span, work: (span: Span) => Promise<Value>): Promise<Value> {
	const span = tracer.startSpan(name, {}, trace.setSpan(ROOT_CONTEXT, parent));
	try {
		return await work(span);
	} catch (error) {
		span.setStatus({code: SpanStatusCode.ERROR, message: String(error)});
		throw error;
	} finally {
		span.end();
	}
}
