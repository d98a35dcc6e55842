/** What ends a link: a frame or message that breaks the protocol, or a socket that failed. */
export class LinkError extends Error {
	override readonly name = 'LinkError';

	constructor(readonly reason: 'oversized' | 'malformed' | 'version' | 'socket', message: string) {
		super(message);
	}
}
