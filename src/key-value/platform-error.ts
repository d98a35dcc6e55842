/** A failed call to the platform. `written` is `no` if a write certainly had no effect, otherwise `unknown`. */
export class PlatformError extends Error {
	override readonly name = 'PlatformError';

	constructor(message: string, readonly written: 'no' | 'unknown') {
		super(message);
	}
}
