import {randomBytes} from 'node:crypto';

const timeDigits = 9;
const randomByteCount = 4;

/** Names one life of a process; the name of a later life is greater. */
export function makeIncarnation(now: number): string {
	return `${Math.floor(now).toString(36).padStart(timeDigits, '0')}-${randomBytes(randomByteCount).toString('hex')}`;
}
