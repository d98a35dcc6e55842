import {Buffer} from 'node:buffer';

/** A part of the input: what the parser is to see for it, and where it ends in the input. */
type Part = {readonly piece: Buffer; readonly end: number};

/** A line with the size of a chunk: bytes of the line with its end, and the size. */
type SizeLine = {readonly bytes: number; readonly size: number};

/** Longest line with a size that is looked at, bytes; the parser has a limit of its own on what may follow the size. */
const maximumLineBytes = 1024;
/** Room for the size of the joined chunk: hexadecimal digits and the end of the line. */
const sizeDigits = 4;
const lineEnd = '\r\n';
const carriageReturn = 0x0D;
const lineFeed = 0x0A;
const sizeLine = /^(?<size>[\da-f]{1,8})(?:;[ -~]*)?\r\n$/iv;

/* Values of hexadecimal digits by their codes; `noDigit` for all else. */
const noDigit = 0xFF;
const digitValues = new Uint8Array(256).fill(noDigit);
for (let value = 0; value < 16; value++) {
	const digit = value.toString(16);
	digitValues[digit.codePointAt(0)!] = value;
	digitValues[digit.toUpperCase().codePointAt(0)!] = value;
}

const isLineEnd = (bytes: Buffer, position: number): boolean => bytes[position] === carriageReturn && bytes[position + 1] === lineFeed;

/**
 * Joins chunks of less than 255 bytes a body into larger ones before the parser sees them: for each chunk it makes an object that costs far more time
 * and memory than a few bytes. All but complete small chunks is passed on as it is, and judged by the parser alone.
 */
export class ChunkJoiner {
	/** Whether the next chunk is known to begin after `passBytes`. */
	private isInBody = false;
	/** Bytes of the present chunk that are passed on as they are. */
	private passBytes = 0;
	/** Beginning of a line with a size whose end has not arrived. */
	private carry: Buffer = Buffer.alloc(0);
	private readonly joined: Buffer;

	/** @param maximumBytes - largest piece that the parser sees */
	constructor(private readonly maximumBytes: number) {
		this.joined = Buffer.alloc(sizeDigits + lineEnd.length + maximumBytes + lineEnd.length);
	}

	/** Whether the input is within the chunks of a body, as far as it is known. */
	get isActive(): boolean {
		return this.isInBody;
	}

	/** Notes that a body in chunks begins with the next byte of the input. */
	start(): void {
		this.isInBody = true;
		this.passBytes = 0;
	}

	/** Returns the input with what was left of it before. */
	takeCarry(bytes: Buffer): Buffer {
		const {carry} = this;
		this.carry = Buffer.alloc(0);
		return carry.length === 0 ? bytes : Buffer.concat([carry, bytes]);
	}

	/** Returns the next part of the input from a position on; undefined if more has to arrive first, or if it is not within chunks any more. */
	next(bytes: Buffer, start: number): Part | undefined {
		if (!this.isInBody) {
			return undefined;
		}

		if (this.passBytes === 0) {
			const part = this.join(bytes, start);
			if (part) {
				return part;
			}

			const line = this.readSizeLine(bytes, start);
			if (line === 'incomplete') {
				this.carry = Buffer.from(bytes.subarray(start));
				return undefined;
			}

			// What is no ordinary chunk, or the last one, is left to the parser.
			if (line === 'unusual') {
				this.isInBody = false;
				return undefined;
			}

			this.passBytes = line.bytes + line.size + lineEnd.length;
		}

		const end = Math.min(bytes.length, start + Math.min(this.passBytes, this.maximumBytes));
		this.passBytes -= end - start;
		return {piece: bytes.subarray(start, end), end};
	}

	/* Joins the complete small chunks at a position; undefined if there are none. */
	private join(bytes: Buffer, start: number): Part | undefined {
		const {joined} = this;
		const first = sizeDigits + lineEnd.length;
		const limit = joined.length - lineEnd.length;
		let target = first;
		let end = start;
		for (;;) {
			let size = digitValues[bytes[end]];
			let dataStart = end + 1;
			const second = digitValues[bytes[dataStart]];
			if (second !== noDigit && size !== noDigit) {
				size = (16 * size) + second;
				dataStart++;
			}

			dataStart += lineEnd.length;
			const dataEnd = dataStart + size;
			const isSmall = size > 0 && size < noDigit && dataEnd + lineEnd.length <= bytes.length && target + size <= limit;
			if (!isSmall || !isLineEnd(bytes, dataStart - lineEnd.length) || !isLineEnd(bytes, dataEnd)) {
				break;
			}

			for (let index = dataStart; index < dataEnd; index++) {
				joined[target++] = bytes[index];
			}

			end = dataEnd + lineEnd.length;
		}

		if (target === first) {
			return undefined;
		}

		joined.write((target - first).toString(16).padStart(sizeDigits, '0') + lineEnd, 0, 'latin1');
		joined.write(lineEnd, target, 'latin1');
		return {piece: joined.subarray(0, target + lineEnd.length), end};
	}

	private readSizeLine(bytes: Buffer, start: number): SizeLine | 'incomplete' | 'unusual' {
		const end = bytes.indexOf(lineFeed, start);
		if (end === -1 || end - start >= maximumLineBytes) {
			return end === -1 && bytes.length - start < maximumLineBytes ? 'incomplete' : 'unusual';
		}

		const text = bytes.toString('latin1', start, end + 1);
		const size = Number.parseInt(sizeLine.exec(text)?.groups!.size ?? '', 16);
		return size > 0 ? {bytes: text.length, size} : 'unusual';
	}
}
