import {connect} from 'node:net';
import {type Target} from '../fleet/target.js';

/** Whether a process listens at a target's address, its VM says that none does, or nobody says anything. */
type Finding = 'listens' | 'refuses' | 'silent';

/** Longest wait for an answer, milliseconds; within a region it comes in a few. */
const timeoutMs = 200;

/** Opens a connection to a target's address, and closes it again, to tell a crashed target from a lost connection. */
export async function checkListener({address, port}: Pick<Target, 'address' | 'port'>): Promise<Finding> {
	return new Promise(resolve => {
		const socket = connect({host: address, port, timeout: timeoutMs});
		const settle = (finding: Finding): void => {
			socket.destroy();
			resolve(finding);
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
