/** Deletes the oldest entry of a map or set that holds more than `maximum` entries. */
export function evictOldest(kept: Map<string, unknown> | Set<string>, maximum: number): void {
	const [oldest] = kept.keys();
	if (kept.size > maximum) {
		kept.delete(oldest);
	}
}
