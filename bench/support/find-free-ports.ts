import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Finds TCP ports on loopback that are free at the moment; another process may still take them. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports: number[] = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		ports.push((server.address() as AddressInfo).port);
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}
