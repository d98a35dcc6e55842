import {type MemoryHolder} from './memory-holder.js';
import {type MemoryPart} from './memory-part.js';

/** Reserves the bytes that an account grows to at a time, milliseconds; false when there is no room. */
type Reservation = (account: MemoryAccount, bytes: number, now: number) => boolean;

/** Memory held on behalf of one caller's connection, or of one request. */
export class MemoryAccount {
	private readonly parts = new Map<MemoryPart, number>();
	private total = 0;
	private isClosed = false;

	/**
	 * @param holder - gives up the memory when the budget is short
	 * @param reserve - reserves memory in the budget
	 * @param onClose - called once the account holds nothing any more
	 */
	constructor(readonly holder: MemoryHolder, private readonly reserve: Reservation, private readonly onClose: (account: MemoryAccount) => void) {}

	/** Bytes held in all parts. */
	get bytes(): number {
		return this.total;
	}

	/** Returns the bytes held in one part. */
	get(part: MemoryPart): number {
		return this.parts.get(part) ?? 0;
	}

	/**
	 * Changes what one part holds; `now` in milliseconds.
	 *
	 * @returns false, with nothing changed, when there is no room
	 */
	resize(part: MemoryPart, bytes: number, now: number): boolean {
		const after = this.total + bytes - this.get(part);
		if (!this.isClosed && !this.reserve(this, after, now)) {
			return false;
		}

		this.parts.set(part, bytes);
		this.total = after;
		return true;
	}

	/** Frees everything; the account takes part in the budget no more. */
	close(): void {
		if (!this.isClosed) {
			this.reserve(this, 0, 0);
			this.isClosed = true;
			this.onClose(this);
		}
	}
}
