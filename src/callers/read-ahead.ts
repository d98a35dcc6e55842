import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {ChunkList} from '../memory/chunk-list.js';

/** Bytes of the body of a waiting request that are read before its turn; the connection is not read beyond them. */
const maximumReadAheadBytes = 512 * 1024;

/** Reads the body of a request while it waits for earlier ones on its connection. */
export class ReadAhead {
	private readonly chunks = new ChunkList();
	private readonly handleData: (chunk: Buffer) => void;

	/**
	 * @param incoming - the request
	 * @param onData - called with the bytes by which the memory taken grows with a part of the body
	 */
	constructor(private readonly incoming: IncomingMessage, onData: (bytes: number) => void) {
		this.handleData = chunk => {
			const {heldBytes} = this.chunks;
			this.chunks.push(chunk);
			if (this.chunks.length > maximumReadAheadBytes) {
				incoming.pause();
			}

			onData(this.chunks.heldBytes - heldBytes);
		};

		incoming.on('data', this.handleData);
		// A body that breaks off is noticed when it is read.
		incoming.on('error', () => undefined);
	}

	/** Ends the reading, and returns what has been read. */
	take(): Buffer[] {
		this.incoming.off('data', this.handleData);
		return this.chunks.take();
	}
}
