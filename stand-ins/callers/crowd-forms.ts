import {Buffer} from 'node:buffer';
import {type CrowdAim} from './crowd-aim.js';

type Form = {
	/** Pieces that each caller writes, one after the other. */
	readonly write: (aim: CrowdAim) => Iterable<Uint8Array | string>;
	/** Whether each piece goes out in a packet of its own. */
	readonly isTrickle?: boolean;
	/** Whether the callers read nothing. */
	readonly isDeaf?: boolean;
	/** How often the callers leave and come again. */
	readonly rounds?: number;
};

const kilobyte = 1024;
const pieceBytes = 64 * kilobyte;
const piece = Buffer.alloc(pieceBytes, 'x');
const makeChunk = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
const chunk = Buffer.from(makeChunk(pieceBytes));
const smallChunk = makeChunk(1);
const smallChunkCount = 10_000;
const smallChunks = Buffer.from(smallChunk.repeat(smallChunkCount));
/** Just short of the limits that are not lowered: header bytes, and requests that may wait on a connection. */
const headBytes = 15_000;
const aheadCount = 99;
const aheadBodyBytes = 400_000;
const trickleCount = 20_000;
const unreadCount = 3;

const makeHead = ({path, makeHeaders}: CrowdAim, name: string, framing: string): string =>
	`PUT ${path}${name} HTTP/1.1\r\nHost: desk.example\r\n${makeHeaders()}${framing}\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n';
const makeLength = (bytes: number): string => `Content-Length: ${bytes}\r\n`;
const repeat = function * <Item>(count: number, make: (index: number) => Item): Iterable<Item> {
	for (let index = 0; index < count; index++) {
		yield make(index);
	}
};

const writeLargeChunks: Form['write'] = function * (aim) {
	yield makeHead(aim, 'x', chunked);
	yield * repeat(Math.floor(aim.bodyBytes / pieceBytes) - 1, () => chunk);
};

const writeSmallChunks: Form['write'] = function * (aim) {
	yield makeHead(aim, 'x', chunked);
	yield * repeat(Math.floor(aim.bodyBytes / smallChunkCount) - 1, () => smallChunks);
};

const writeStatedBody = function * (aim: CrowdAim, name: string, missing: number): Iterable<Uint8Array | string> {
	const count = Math.floor(aim.bodyBytes / pieceBytes);
	yield makeHead(aim, name, makeLength(count * pieceBytes));
	yield * repeat(count - missing, () => piece);
};

const readNothing = (name: string): Form => ({
	* write(aim) {
		yield * repeat(unreadCount, () => makeHead(aim, name, makeLength(0)));
	},
	isDeaf: true,
});

/** What misbehaving callers do, by its name in scenarios. */
export const crowdForms: Readonly<Record<string, Form>> = {
	'stop short of the end of bodies in large chunks': {write: writeLargeChunks},
	'stop short of the end of bodies in chunks of one byte': {write: writeSmallChunks},
	'stop short of a stated length': {write: aim => writeStatedBody(aim, 'x', 1)},
	'send whole bodies at once to a slow target': {write: aim => writeStatedBody(aim, 'hold', 0)},
	'leave within large bodies and come again': {write: writeLargeChunks, rounds: 4},
	'send a chunk of one byte in each packet': {
		* write(aim) {
			yield makeHead(aim, 'x', chunked);
			yield * repeat(trickleCount, () => smallChunk);
		},
		isTrickle: true,
	},
	'write bodies ahead': {
		* write(aim) {
			yield makeHead(aim, 'hold', makeLength(0));
			yield * repeat(aheadCount, () => makeHead(aim, 'x', makeLength(aheadBodyBytes)) + 'x'.repeat(aheadBodyBytes));
		},
	},
	'write small requests ahead': {
		* write(aim) {
			yield makeHead(aim, 'hold', makeLength(0));
			yield * repeat(200, () => makeHead(aim, 'x', makeLength(0)).repeat(100));
		},
	},
	'write heads of many fields ahead': {
		* write(aim) {
			yield makeHead(aim, 'hold', makeLength(0));
			yield * repeat(aheadCount, () => makeHead(aim, 'x', makeLength(0) + 'ab:cd\r\n'.repeat(1800)));
		},
	},
	'stop within a head of many fields': {
		* write({path}) {
			yield `PUT ${path}x HTTP/1.1\r\n` + 'ab:cd\r\n'.repeat(Math.floor(headBytes / 7));
		},
	},
	'stop within a trailer of many fields': {
		* write(aim) {
			yield makeHead(aim, 'x', chunked) + smallChunk + '0\r\n' + 'ab:cd\r\n'.repeat(Math.floor(headBytes / 7));
		},
	},
	'do not read large answers': readNothing('large'),
	'do not read answers without end in chunks': readNothing('endless-chunks'),
	'do not read answers without end of a stated length': readNothing('endless-length'),
	'do not read events without end': readNothing('endless-events'),
	'send nothing': {write: () => []},
	'stop short of a short body': {
		* write(aim) {
			yield makeHead(aim, 'x', makeLength(2)) + 'x';
		},
	},
	'wait for a slow target': {
		* write(aim) {
			yield makeHead(aim, 'hold', makeLength(0));
		},
	},
	'send a whole body in chunks of one byte': {
		* write(aim) {
			yield * writeSmallChunks(aim);
			yield '0\r\n\r\n';
		},
	},
	'send bodies without end to unknown routes': {
		* write() {
			yield `PUT /nowhere HTTP/1.1\r\nHost: nowhere.example\r\n${chunked}\r\n`;
			yield * repeat(aheadCount, () => chunk);
		},
	},
};
