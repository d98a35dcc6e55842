import process from 'node:process';
import {
	Counter, Gauge, Histogram, Registry, collectDefaultMetrics,
} from 'prom-client';
import {CallerMetrics} from './caller-metrics.js';

/** Sampling interval of the event loop lag, milliseconds; the default of 10 ms costs 1% of a core. */
const eventLoopSampleIntervalMs = 500;

/** The Prometheus metrics of `wardswitch-entry` and `wardswitch-target`. */
export class ProcessMetrics {
	readonly registry = new Registry();
	readonly callers = new CallerMetrics(this.registry);
	/** Bytes on links; control messages and callers' requests are counted separately. */
	readonly linkBytes = new Counter({
		name: 'wardswitch_link_bytes_total',
		help: 'Bytes of frames on links, by direction and class (control, request)',
		labelNames: ['direction', 'class'] as const,
		registers: [this.registry],
	});

	readonly platformCalls = new Counter({
		name: 'wardswitch_platform_calls_total',
		help: 'Calls to the platform, by operation',
		labelNames: ['operation'] as const,
		registers: [this.registry],
	});

	readonly tableVersion = new Gauge({
		name: 'wardswitch_table_version',
		help: 'Version of the table in force at this process',
		registers: [this.registry],
	});

	readonly requests = new Counter({
		name: 'wardswitch_requests_total',
		help: 'Requests answered, by service and outcome (ok, failed, not-run, unknown)',
		labelNames: ['service', 'outcome'] as const,
		registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'wardswitch_refusals_total',
		help: 'Requests refused by a target process, by reason',
		labelNames: ['reason'] as const,
		registers: [this.registry],
	});

	readonly retries = new Counter({
		name: 'wardswitch_retries_total',
		help: 'Attempts after the first, by whether the budget allowed them',
		labelNames: ['allowed'] as const,
		registers: [this.registry],
	});

	readonly firstPartSeconds = new Histogram({
		name: 'wardswitch_first_part_seconds',
		help: 'Time from a request to the first part of its answer, seconds',
		labelNames: ['service'] as const,
		buckets: [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.82, 1.6, 3.2, 10],
		registers: [this.registry],
	});

	readonly controlCpuSeconds = new Counter({
		name: 'wardswitch_control_cpu_seconds_total',
		help: 'Processor time spent in control work (heartbeats, table, loans, reports), seconds',
		registers: [this.registry],
	});

	constructor() {
		collectDefaultMetrics({register: this.registry, eventLoopMonitoringPrecision: eventLoopSampleIntervalMs});
	}

	/** Link meter that counts in `linkBytes`. */
	readonly meterLink = (direction: 'sent' | 'received', isControl: boolean, bytes: number): void => {
		this.linkBytes.inc({direction, class: isControl ? 'control' : 'request'}, bytes);
	};

	/** Runs synchronous control work and adds its CPU time to `controlCpuSeconds`. */
	measureControlCpu<Value>(work: () => Value): Value {
		const before = process.cpuUsage();
		const value = work();
		const spent = process.cpuUsage(before);
		this.controlCpuSeconds.inc((spent.user + spent.system) / 1_000_000);
		return value;
	}
}
