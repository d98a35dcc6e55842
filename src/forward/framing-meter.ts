/** Limit on the bytes up to the end of an answer's head, interim answers included, and bytes that were read but not yet parsed. */
const maximumHeadBytes = 128 * 1024;
/** Limit on what belongs to no body: the head, the framing of chunks and trailers, and bytes not yet parsed. Bytes. */
const maximumFramingBytes = 256 * 1024;
/** As many more are allowed for each byte of a body: a chunk of one byte has five of framing. */
const framingPerBodyByte = 16;

/** Counts the bytes of one answer that bring its body no further. */
export class FramingMeter {
	private hasHead = false;
	private bodyBytes = 0;

	/** @param start - bytes read on the connection before the answer */
	constructor(private readonly start: number) {}

	/** Notes the head of the answer; interim answers are none. */
	noteHead(): void {
		this.hasHead = true;
	}

	/** Notes a part of the body. */
	noteBody(bytes: number): void {
		this.bodyBytes += bytes;
	}

	/** Whether there is more framing than any answer may have; `bytesRead` counts all bytes read on the connection. */
	isExceeded(bytesRead: number): boolean {
		const limit = this.hasHead ? maximumFramingBytes + (this.bodyBytes * framingPerBodyByte) : maximumHeadBytes;
		return bytesRead - this.start - this.bodyBytes > limit;
	}
}
