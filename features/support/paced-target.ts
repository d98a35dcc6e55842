import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Target} from '../../src/fleet/target.js';

/** Interval between two events of a stream, milliseconds. */
const eventMs = 40;
/** A request that is preempted stops before its second event, also of a later run. */
const eventsBeforePreemption = 1;

/** A target on loopback that sends an event of each stream at an interval, and lets some requests wait as a target does that is short of memory. */
export class PacedTarget {
	/** Ids of the requests that it ran. */
	readonly runs: string[] = [];
	/** Ids of the requests that it lets wait. */
	readonly preempted = new Set<string>();
	/** Events that it sent of streams that it does not let wait. */
	pacedEvents = 0;
	private readonly server: Server;

	/** @param heldEvents - a request waits until this number of events of others have been sent */
	constructor(private readonly id: string, private readonly heldEvents: number, private readonly eventsPerStream: number) {
		this.server = createServer((request, response) => {
			void this.serve(request, response);
		});
	}

	/** Starts to listen, and returns the target's registration. */
	async start(): Promise<Target> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		const {port} = this.server.address() as AddressInfo;
		return {
			id: this.id, service: 'desk', address: '127.0.0.1', port, availabilityZone: 'barre-hall', slots: 8, isLeaving: false,
		};
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const id = String(request.headers['x-request']);
		this.runs.push(id);
		const isStream = request.url!.includes('/stream/');
		const headers = {'content-type': isStream ? 'text/event-stream' : 'text/plain', 'x-request': id, 'x-signed': '1'};
		if (!isStream) {
			await this.wait(id, response);
			response.writeHead(200, headers).end(`answer to ${id}`);
			return;
		}

		response.writeHead(200, headers);
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		for (let event = first; event <= this.eventsPerStream && !response.destroyed; event++) {
			if (event === first + eventsBeforePreemption) {
				await this.wait(id, response);
			}

			this.pacedEvents += this.preempted.has(id) ? 0 : 1;
			response.write(`id: ${event}\ndata: ${id}\n\n`);
			await pause(eventMs);
		}

		response.end();
	}

	/* Lets a preempted request wait. */
	private async wait(id: string, response: ServerResponse): Promise<void> {
		const until = this.pacedEvents + this.heldEvents;
		while (this.preempted.has(id) && this.pacedEvents < until && !response.destroyed) {
			await pause(eventMs);
		}
	}
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
