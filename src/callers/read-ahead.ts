import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Bytes of the body of a waiting request that are read before its turn; the connection is not read beyond them. */
const maximumReadAheadBytes = 512 * 1024;

/** Reads the body of a request while it waits for earlier ones on its connection. */
export class ReadAhead {
	private readonly chunks: Buffer[] = [];
	private bytes = 0;
	private readonly handleData: (chunk: Buffer) => void;

	constructor(private readonly incoming: IncomingMessage) {
		this.handleData = chunk => {
			this.chunks.push(chunk);
			this.bytes += chunk.length;
			if (this.bytes > maximumReadAheadBytes) {
				incoming.pause();
			}
		};

		incoming.on('data', this.handleData);
		// A body that breaks off is noticed when it is read.
		incoming.on('error', () => undefined);
	}

	/** Ends the reading, and returns what has been read. */
	take(): Buffer[] {
		this.incoming.off('data', this.handleData);
		return this.chunks;
	}
}
