import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import process from 'node:process';

/** Ports below those that the system gives to outgoing connections, any of which may take a port as soon as it is free. */
const firstPort = 10_000;
const portCount = 22_000;
/** Spreads the first ports of processes, whose ids follow each other. */
const spread = 7919;

let offset = (process.pid * spread) % portCount;

const listen = async (port: number): Promise<Server | undefined> => {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		// Another process listens on it.
		return undefined;
	}
};

/** Finds TCP ports on loopback that are free at the moment, other ones with each call; another process may still take them. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = new Map<number, Server>();
	while (servers.size < count) {
		const port = firstPort + offset;
		offset = (offset + 1) % portCount;
		const server = await listen(port);
		if (server) {
			servers.set(port, server);
		}
	}

	for (const server of servers.values()) {
		server.close();
	}

	return [...servers.keys()];
}
