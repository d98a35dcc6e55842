import {z} from 'zod';

/** An IPv4 address and a port, written as `10.0.0.1:8080` in settings and parsed to `{host, port}`. */
const SocketAddress = z.string()
	.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'expected IP address and port, as in 10.0.0.1:8080')
	.transform(text => {
		const [host, port] = text.split(':');
		return {host, port: Number(port)};
	});
type SocketAddress = z.infer<typeof SocketAddress>;

export {SocketAddress};
