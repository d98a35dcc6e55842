import {Buffer} from 'node:buffer';
import {encode} from 'cbor-x';
import {type LinkMessage} from './link-message.js';

const headerBytes = 4;

/** Encodes one message as a frame: four bytes of length, big endian, then CBOR. */
export function encodeFrame(message: LinkMessage): Buffer {
	const body = encode(message);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}
