import {type Socket} from 'node:net';

type ResettableHandle = {reset(done: () => void): void};

/** Resets a connection with RST immediately; `socket.resetAndDestroy` would first close it in order. */
export function resetConnection(socket: Socket): void {
	const {_handle: handle} = socket as unknown as {readonly _handle: ResettableHandle};
	handle.reset(() => {
		socket.destroy();
	});
}
