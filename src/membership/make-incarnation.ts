import {randomBytes} from 'node:crypto';

const timeDigits = 9;
const randomByteCount = 4;

/** Makes the id of one incarnation of a process; ids of later incarnations compare greater. `now` in Unix milliseconds. */
export function makeIncarnation(now: number): string {
	return `${Math.floor(now).toString(36).padStart(timeDigits, '0')}-${randomBytes(randomByteCount).toString('hex')}`;
}
