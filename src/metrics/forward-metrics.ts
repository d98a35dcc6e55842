import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type ForwardExchange} from '../forward/forward-exchange.js';
import {type Problem} from '../requests/problem.js';
import {CallerMetrics} from './caller-metrics.js';
import {makeLinkMeter} from './make-link-meter.js';

/** The Prometheus metrics of an entry that forwards directly to targets. */
export class ForwardMetrics {
	readonly registry = new Registry();
	readonly meterLink = makeLinkMeter(this.registry);
	readonly callers = new CallerMetrics(this.registry);

	readonly requests = new Counter({
		name: 'wardswitch_requests_total',
		help: 'Requests ended, by service, status and outcome (answered, not-run, unknown)',
		labelNames: ['service', 'status', 'outcome'] as const,
		registers: [this.registry],
	});

	readonly sends = new Counter({
		name: 'wardswitch_sends_total',
		help: 'Requests sent to targets, by service and whether the request was sent before',
		labelNames: ['service', 'repeat'] as const,
		registers: [this.registry],
	});

	readonly refusedRetries = new Counter({
		name: 'wardswitch_refused_retries_total',
		help: 'Retries that the retry budget did not allow, by service',
		labelNames: ['service'] as const,
		registers: [this.registry],
	});

	/** Open links to other entries on which no report arrives. */
	readonly silentLinks = new Gauge({
		name: 'wardswitch_silent_links',
		help: 'Open links to other entries on which nothing has arrived for longer than reports may take',
		registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'wardswitch_refusals_total',
		help: 'Requests that targets turned away, by service and whether they asked for rest',
		labelNames: ['service', 'rest'] as const,
		registers: [this.registry],
	});

	/** Targets in the cooldown that they requested. */
	readonly cooldownTargets = new Gauge({
		name: 'wardswitch_resting_targets',
		help: 'Targets that have asked this process to send them nothing for a while, which is not over',
		registers: [this.registry],
	});

	/** Targets that announced a limit on requests per second. */
	readonly rateLimitedTargets = new Gauge({
		name: 'wardswitch_limited_targets',
		help: 'Targets that take so many requests a second only from all entries together',
		registers: [this.registry],
	});

	/** Parts of prompts that are refused. */
	readonly blockedParts = new Gauge({
		name: 'wardswitch_blocked_parts',
		help: 'Parts of prompts that this process refuses, since they crash targets',
		registers: [this.registry],
	});

	readonly crashes = new Counter({
		name: 'wardswitch_target_crashes_total',
		help: 'Crashes of targets in which this process lost requests, by service',
		labelNames: ['service'] as const,
		registers: [this.registry],
	});

	/** Answers whose connection closed before they were complete. */
	readonly cutAnswers = new Counter({
		name: 'wardswitch_cut_answers_total',
		help: 'Answers that ended before they were complete, by service and by who closed the connection (caller, entry)',
		labelNames: ['service', 'by'] as const,
		registers: [this.registry],
	});

	readonly requestSeconds = new Histogram({
		name: 'wardswitch_request_seconds',
		help: 'Time from a request to the end of its answer, seconds',
		labelNames: ['service'] as const,
		buckets: [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8],
		registers: [this.registry],
	});

	readonly configurationVersion = new Gauge({
		name: 'wardswitch_configuration_version',
		help: 'Version of the configuration in force at this process',
		registers: [this.registry],
	});

	/** Records the outcome and the duration of a request; `problem` is undefined if a target answered, `now` is in milliseconds. */
	recordEnd(exchange: ForwardExchange, problem: Problem | undefined, now: number): void {
		const {service, response, arrivedAt} = exchange;
		const status = String(problem?.options.status ?? response.statusCode);
		this.requests.inc({service, status, outcome: problem?.options.outcome ?? 'answered'});
		this.requestSeconds.observe({service}, (now - arrivedAt) / 1000);
	}
}
