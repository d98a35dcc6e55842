import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Vm} from '../../src/vm-list/vm.js';
import {type VmListService} from './vm-list-service.js';

/** Starts the stand-in of the list of VMs on loopback. */
export async function startVmList(port = 0): Promise<VmListService> {
	const vms: Vm[] = [];
	const server = createServer((request, response) => {
		if (service.isDown) {
			request.socket.destroy();
			return;
		}

		const text = JSON.stringify({vms});
		const tag = `"${createHash('sha256').update(text).digest('hex').slice(0, 16)}"`;
		response.setHeader('etag', tag);
		response.setHeader('content-type', 'application/json');
		response.statusCode = request.headers['if-none-match'] === tag ? 304 : 200;
		response.end(response.statusCode === 304 ? undefined : text);
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	const service: VmListService = {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/vms`,
		vms,
		isDown: false,
		async close() {
			server.close();
			server.closeAllConnections();
			await Promise.resolve();
		},
	};
	return service;
}
