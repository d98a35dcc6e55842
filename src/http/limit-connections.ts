import {type Server, type Socket} from 'node:net';

/**
 * Limits the open connections of a server: a new one takes the place of the one that has been open for longest.
 *
 * @param server - a server of plain connections, or of TLS, which is limited in connections whose handshake is not complete
 */
export function limitConnections(server: Server, maximum: number): void {
	const open = new Map<string, Socket>();
	const getName = ({remoteAddress, remotePort}: Socket): string => `${remoteAddress} ${remotePort}`;
	server.on('connection', (socket: Socket) => {
		const name = getName(socket);
		open.set(name, socket);
		socket.once('close', () => {
			if (open.get(name) === socket) {
				open.delete(name);
			}
		});
		if (open.size > maximum) {
			const [[oldestName, oldest]] = open;
			open.delete(oldestName);
			oldest.destroy();
		}
	});
	server.on('secureConnection', (socket: Socket) => {
		open.delete(getName(socket));
	});
}
