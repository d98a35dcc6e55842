/** Why a link ended: a frame or message that violates the protocol, or a socket error. */
export class LinkError extends Error {
	override readonly name = 'LinkError';

	constructor(readonly reason: 'oversized' | 'malformed' | 'version' | 'socket', message: string) {
		super(message);
	}
}
