import {
	ROOT_CONTEXT, defaultTextMapGetter, type Span, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/**
 * Starts the span of one hop, as a child of the caller's `traceparent` or as a new trace if there is none.
 *
 * @param startTime - Unix milliseconds, if the span began before this call
 */
export function startSpan(tracer: Tracer, name: string, headers: Readonly<Record<string, unknown>>, startTime?: number): Span {
	const parent = propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
	return tracer.startSpan(name, {startTime}, parent);
}
