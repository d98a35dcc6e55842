/** Error for an invalid trace, shape or map; the message says where, and what was expected. */
export class MapError extends Error {
	override readonly name = 'MapError';
}
