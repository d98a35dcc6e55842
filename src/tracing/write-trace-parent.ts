import {
	ROOT_CONTEXT, defaultTextMapSetter, trace, type Span,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/** Sets the `traceparent` header of a span in the headers sent to the next hop. */
export function writeTraceParent(span: Span, headers: Record<string, unknown>): void {
	propagator.inject(trace.setSpan(ROOT_CONTEXT, span), headers, defaultTextMapSetter);
}
