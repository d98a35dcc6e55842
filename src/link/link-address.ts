import {isIPv4} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;

const isLinkAddress = (text: string): boolean => {
	const [host, port, ...rest] = text.split(':', 3);
	return rest.length === 0 && isIPv4(host) && /^[1-9]\d{0,4}$/v.test(port ?? '') && Number(port) <= maximumPort;
};

/** Address at which a process accepts links: an IPv4 address and a port, as in `10.0.0.1:7340`. */
const LinkAddress = z.string().refine(text => isLinkAddress(text), 'expected an IP address and a port, as in 10.0.0.1:7340');
type LinkAddress = z.infer<typeof LinkAddress>;

export {LinkAddress};
