import {Server, type ServerOptions} from 'node:http';

/**
 * An HTTP server that leaves it to its owner to close idle connections. Node also takes connections for idle whose answer has been
 * ended but not yet written to a slow caller, and closes them with `close`.
 */
export class IdleAwareServer extends Server {
	constructor(options: ServerOptions, private readonly closeIdle: () => void) {
		super(options);
	}

	/** Closes the connections without open requests. */
	override closeIdleConnections(): void {
		this.closeIdle();
	}
}
