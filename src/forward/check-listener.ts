import {connect} from 'node:net';
import {type Target} from '../fleet/target.js';

/** A process listens at the address, the VM refuses the connection, or there is no reply. */
type ListenerState = 'listens' | 'refuses' | 'silent';

/** Longest wait for a reply, milliseconds; within a region it takes a few. */
const connectTimeoutMs = 200;

/** Opens and closes a connection to a target's address, to distinguish a crashed target from a lost connection. */
export async function checkListener({address, port}: Pick<Target, 'address' | 'port'>): Promise<ListenerState> {
	return new Promise(resolve => {
		const socket = connect({host: address, port, timeout: connectTimeoutMs});
		const settle = (listenerState: ListenerState): void => {
			socket.destroy();
			resolve(listenerState);
		};

		socket.once('connect', () => {
			settle('listens');
		});
		socket.once('timeout', () => {
			settle('silent');
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			settle(error.code === 'ECONNREFUSED' ? 'refuses' : 'silent');
		});
	});
}
