import {
	ROOT_CONTEXT, defaultTextMapGetter, type Span, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/** Starts the span of one hop below the caller's `traceparent`, or a new trace without one; it may have begun earlier (milliseconds since the epoch). */
export function startSpan(tracer: Tracer, name: string, headers: Readonly<Record<string, unknown>>, startTime?: number): Span {
	const parent = propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
	return tracer.startSpan(name, {startTime}, parent);
}
