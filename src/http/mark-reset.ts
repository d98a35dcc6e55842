import {type Socket} from 'node:net';

/** Code of the error of a connection that the other side has reset. */
const resetCode = 'ERR_CONNECTION_RESET';

/**
 * Gives a reset of the connection another code than the system's, with which undici takes it for the end of an answer
 * without a length. To be called before undici adds its own listeners.
 */
export function markReset(socket: Socket): void {
	socket.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'ECONNRESET') {
			error.code = resetCode;
		}
	});
}
