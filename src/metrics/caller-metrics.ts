import {Counter, Gauge, type Registry} from 'prom-client';
import {type ReleaseKind} from '../callers/release-kind.js';

/** The Prometheus metrics of what callers make a process hold. */
export class CallerMetrics {
	private readonly releases: Counter<'kind'>;

	/** @param registry - the metrics are registered there */
	constructor(private readonly registry: Registry) {
		this.releases = new Counter({
			name: 'wardswitch_releases_total',
			help: 'What connections of callers gave up since memory or descriptors were short, by kind (idle, head, body, waiting, answer)',
			labelNames: ['kind'] as const,
			registers: [registry],
		});
	}

	/** Registers gauges of the memory that callers make the process hold, bytes, and of their open connections. */
	observe(getHeldBytes: () => number, countConnections: () => number): void {
		const gauges: ReadonlyArray<readonly [string, string, () => number]> = [
			['wardswitch_held_bytes', 'Memory that callers make this process hold: connections, heads, bodies, requests written ahead and unread answers, bytes', getHeldBytes],
			['wardswitch_caller_connections', 'Open connections of callers', countConnections],
		];
		for (const [name, help, read] of gauges) {
			const gauge: Gauge = new Gauge({
				name,
				help,
				registers: [this.registry],
				collect() {
					gauge.set(read());
				},
			});
		}
	}

	/** Counts something given up. */
	noteRelease(kind: ReleaseKind): void {
		this.releases.inc({kind});
	}
}
