import {Buffer} from 'node:buffer';
import {decode} from 'cbor-x';
import {LinkError} from './link-error.js';

const headerBytes = 4;

/** A decoded frame; `bytes` includes its header. */
type Frame = {readonly item: unknown; readonly bytes: number};

/** Splits a byte stream into frames: the length in four bytes, big endian, then one CBOR item. */
export class FrameDecoder {
	private pending: Buffer = Buffer.alloc(0);

	/** @param maximumBytes - largest frame body accepted */
	constructor(private readonly maximumBytes: number) {}

	/**
	 * Adds received bytes and returns the frames that are now complete.
	 *
	 * @throws LinkError when a frame is too large or is not CBOR
	 */
	push(chunk: Buffer): Frame[] {
		this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		const frames: Frame[] = [];
		let offset = 0;
		while (this.pending.length - offset >= headerBytes) {
			const size = this.pending.readUInt32BE(offset);
			if (size > this.maximumBytes) {
				throw new LinkError('oversized', `frame of ${size} bytes; at most ${this.maximumBytes} expected`);
			}

			const end = offset + headerBytes + size;
			if (this.pending.length < end) {
				break;
			}

			frames.push({item: this.decodeItem(this.pending.subarray(offset + headerBytes, end)), bytes: end - offset});
			offset = end;
		}

		this.pending = this.pending.subarray(offset);
		return frames;
	}

	private decodeItem(body: Buffer): unknown {
		try {
			return decode(body) as unknown;
		} catch (error) {
			throw new LinkError('malformed', `frame is not CBOR: ${(error as Error).message}`);
		}
	}
}
