/** A target has sent more than any answer may have. */
export class ExcessError extends Error {
	override readonly name = 'ExcessError';
}
