import {type Socket} from 'node:net';

/**
 * Confirms that the other side has ended a connection in order, since libuv reports a reset that arrives together with the last bytes
 * as an end. To distinguish them, an empty line is written, which HTTP allows before a request: this succeeds on a connection that
 * was only half-closed, and fails after a reset. To be called when the end of the connection has been read.
 *
 * @param callback - called with an error if the connection was reset
 */
export function confirmEnd(socket: Socket, callback: (error?: Error) => void): void {
	socket.write('\r\n', error => {
		callback(error ? new Error('connection reset within an answer', {cause: error}) : undefined);
	});
}
