/** Limit on what all answers together buffer beyond `freeBytes` each, bytes. */
const maximumBytes = 48 * 1024 * 1024;
/** What each answer may buffer whatever the others do, bytes, so that large answers never keep small ones out. */
const freeBytes = 64 * 1024;

/** Limits the memory in which all answers of the process are buffered. */
export class AnswerBudget {
	private usedBytes = 0;

	/**
	 * Changes what one answer buffers.
	 *
	 * @param before - bytes that it buffered so far
	 * @param after - bytes that it buffers now
	 * @returns false, with nothing changed, when there is no room
	 */
	resize(before: number, after: number): boolean {
		const usedBytes = this.usedBytes - Math.max(0, before - freeBytes) + Math.max(0, after - freeBytes);
		if (after > before && after > freeBytes && usedBytes > maximumBytes) {
			return false;
		}

		this.usedBytes = usedBytes;
		return true;
	}
}
