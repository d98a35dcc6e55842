/** A trace, a shape or a map that cannot be used: says where and what was expected. */
export class MapError extends Error {
	override readonly name = 'MapError';
}
