import {Counter, type Registry} from 'prom-client';
import {type LinkMeter} from '../link/link-meter.js';

/** Creates a link meter that counts frame bytes by direction in the registry's `wardswitch_link_bytes_total`. */
export function makeLinkMeter(registry: Registry): LinkMeter {
	const bytes = new Counter({
		name: 'wardswitch_link_bytes_total',
		help: 'Bytes of frames on links, by direction',
		labelNames: ['direction'] as const,
		registers: [registry],
	});
	return (direction, _isControl, count) => {
		bytes.inc({direction}, count);
	};
}
