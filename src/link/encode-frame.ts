import {Buffer} from 'node:buffer';
import {encode} from 'cbor-x';
import {type LinkMessage} from './link-message.js';

const headerBytes = 4;

/** Encodes one message as a frame: the length in four bytes, big endian, then the message in CBOR. */
export function encodeFrame(message: LinkMessage): Buffer {
	const body = encode(message);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}
