import {Buffer} from 'node:buffer';
import {decode} from 'cbor-x';
import {LinkError} from './link-error.js';

const headerBytes = 4;

/** A decoded frame; `bytes` includes its header. */
type Frame = {readonly item: unknown; readonly bytes: number};

/** Splits a byte stream into frames: the length in four bytes, big endian, then one CBOR item. */
export class FrameDecoder {
	private chunks: Buffer[] = [];
	private receivedBytes = 0;
	/** Bytes of the next frame, as far as known: of its header, or of all. */
	private wantedBytes = headerBytes;

	/** @param maximumBytes - largest frame body accepted */
	constructor(private readonly maximumBytes: number) {}

	/**
	 * Adds received bytes and returns the frames that are now complete.
	 *
	 * @throws LinkError when a frame is too large or is not CBOR
	 */
	push(chunk: Buffer): Frame[] {
		this.chunks.push(chunk);
		this.receivedBytes += chunk.length;
		// Chunks are joined once for a frame, however many it has.
		return this.receivedBytes < this.wantedBytes ? [] : this.split(this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks));
	}

	private split(bytes: Buffer): Frame[] {
		const frames: Frame[] = [];
		let offset = 0;
		this.wantedBytes = headerBytes;
		while (bytes.length - offset >= headerBytes) {
			const frameBytes = this.readFrameBytes(bytes, offset);
			const end = offset + frameBytes;
			if (bytes.length < end) {
				this.wantedBytes = frameBytes;
				break;
			}

			frames.push({item: this.decodeItem(bytes.subarray(offset + headerBytes, end)), bytes: frameBytes});
			offset = end;
		}

		const rest = bytes.subarray(offset);
		this.chunks = rest.length === 0 ? [] : [rest];
		this.receivedBytes = rest.length;
		return frames;
	}

	private readFrameBytes(bytes: Buffer, offset: number): number {
		const size = bytes.readUInt32BE(offset);
		if (size > this.maximumBytes) {
			throw new LinkError('oversized', `frame of ${size} bytes; at most ${this.maximumBytes} expected`);
		}

		return headerBytes + size;
	}

	private decodeItem(body: Buffer): unknown {
		try {
			return decode(body) as unknown;
		} catch (error) {
			throw new LinkError('malformed', `frame is not CBOR: ${(error as Error).message}`);
		}
	}
}
