import {isIPv4} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;

/** An IPv4 address and a port, written as `10.0.0.1:8080` in settings and parsed to `{host, port}`. */
const SocketAddress = z.string()
	.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'expected IP address and port, as in 10.0.0.1:8080')
	.refine(text => isIPv4(text.split(':')[0]) && Number(text.split(':')[1]) <= maximumPort, `expected four numbers up to 255 and a port up to ${maximumPort}`)
	.transform(text => {
		const [host, port] = text.split(':');
		return {host, port: Number(port)};
	});
type SocketAddress = z.infer<typeof SocketAddress>;

export {SocketAddress};
