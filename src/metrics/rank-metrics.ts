import {Counter, Registry} from 'prom-client';
import {makeLinkMeter} from './make-link-meter.js';

/** The Prometheus metrics of `wardswitch-rank`. */
export class RankMetrics {
	readonly registry = new Registry();
	readonly meterLink = makeLinkMeter(this.registry);

	readonly orders = new Counter({
		name: 'wardswitch_rank_orders_total',
		help: 'Orders to ranks that this process planned, by outcome (taken, refused, unknown)',
		labelNames: ['outcome'] as const,
		registers: [this.registry],
	});
}
