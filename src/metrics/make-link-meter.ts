import {Counter, type Registry} from 'prom-client';
import {type LinkMeter} from '../link/link-meter.js';

/** Makes a meter that counts the bytes of frames on links in `wardswitch_link_bytes_total` of a registry. */
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
