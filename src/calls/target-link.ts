import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {PersistentLink} from '../link/persistent-link.js';
import {type Vm} from '../vm-list/vm.js';
import {Call} from './call.js';

type TargetLinkOptions = {
	readonly vm: Vm;
	readonly connect: () => Promise<LinkConnection>;
	readonly hello: () => MessageOf<'hello'>;
	readonly clock: () => number;
	readonly random: () => number;
	/** How long calls wait for a lost link to reconnect, milliseconds. */
	readonly resumeMs: number;
	/** Counts what is written to the target and not taken by it yet; false when there is no room, bytes. */
	readonly holdPending: (bytes: number) => boolean;
	/** Called with expert loads that the target reports. */
	readonly onExpertLoads: (message: MessageOf<'map-loads'>) => void;
	/** Called with the table version in a message of the target. */
	readonly onTableVersion: (version: number) => void;
};

type Welcome = MessageOf<'welcome'>;
type Load = MessageOf<'load'>['load'];

const unknownLoad: Load = {
	running: 0, waiting: 0, concurrency: 1, serviceMs: 0,
};

/** The link to one target process, the state that the target last reported, and the open calls to it. */
export class TargetLink {
	readonly vm: Vm;
	/** Load as last reported; zero before the first report. */
	load: Load = unknownLoad;
	/** When the load was reported, milliseconds since the epoch; 0: never. */
	loadAt = 0;
	/** Requests sent since the load was reported. */
	sentSinceReport = 0;
	/** Whether the target has reported that it accepts no new requests. */
	isLeaving = false;
	/** When a request was last sent, milliseconds since the epoch. */
	lastUsedAt = 0;

	private welcome: Welcome | undefined;
	private readonly calls = new Map<string, Call>();
	private readonly link: PersistentLink;
	private disconnectedAt: number | undefined;

	constructor(private readonly options: TargetLinkOptions) {
		this.vm = options.vm;
		this.lastUsedAt = options.clock();
		this.link = new PersistentLink({
			connect: options.connect,
			random: options.random,
			onOpen: connection => {
				this.open(connection);
			},
			onLost: () => {
				this.disconnectedAt ??= options.clock();
			},
		});
	}

	/** Whether requests can be sent now. */
	get isReady(): boolean {
		return this.welcome !== undefined && this.disconnectedAt === undefined && this.link.current !== undefined;
	}

	/** Incarnation of the target process, which changes when it restarts; undefined before the first welcome. */
	get incarnation(): string | undefined {
		return this.welcome?.incarnation;
	}

	/** Number of calls that have not been released. */
	get openCalls(): number {
		return this.calls.size;
	}

	/** Sends a request as a new call. If there is no link to send it on, the call ends with `unsent`. */
	request(message: MessageOf<'request'> | MessageOf<'attach'>): Call {
		const call = new Call(message.id, message.attempt, reply => this.link.current?.send(reply) ?? false);
		const name = `${message.id}/${message.attempt}`;
		this.lastUsedAt = this.options.clock();
		this.calls.set(name, call);
		this.sentSinceReport++;
		if (!this.isReady || !this.hasRoom(message) || !this.link.current!.send(message)) {
			this.calls.delete(name);
			call.settle({type: 'unsent'});
		}

		return call;
	}

	/** Asks the target to cancel a call; the reply arrives as an event of the call. */
	cancel(call: Call): void {
		this.link.current?.send({type: 'cancel', id: call.id, attempt: call.attempt});
	}

	/** Removes a call that is no longer read. */
	release(call: Call): void {
		this.calls.delete(`${call.id}/${call.attempt}`);
	}

	/** Sends any other message; false when there is no link. */
	send(message: LinkMessage): boolean {
		return this.link.current?.send(message) ?? false;
	}

	/** Counts what the target has taken meanwhile, and fails all calls when the link has been lost for longer than `resumeMs`. */
	tick(now: number): void {
		this.options.holdPending(this.link.current?.pendingBytes ?? 0);
		if (this.disconnectedAt !== undefined && now - this.disconnectedAt > this.options.resumeMs) {
			this.failCalls('the link to the target did not come back in time');
		}
	}

	/** Closes the connection at once; the link then reconnects. */
	disconnect(): void {
		this.link.disconnect();
	}

	/** Closes the link for good and fails its calls. */
	close(): void {
		this.options.holdPending(0);
		this.link.close();
		this.failCalls('the link was closed');
	}

	/* A target that does not read must not make this process keep what it is sent. */
	private hasRoom(message: MessageOf<'request'> | MessageOf<'attach'>): boolean {
		return message.type === 'attach' || this.options.holdPending(this.link.current!.pendingBytes + message.body.length);
	}

	private open(connection: LinkConnection): void {
		connection.onMessage(message => {
			this.receive(message);
		});
		connection.send(this.options.hello());
	}

	private receive(message: LinkMessage): void {
		switch (message.type) {
			case 'welcome': {
				this.handleWelcome(message);
				break;
			}

			case 'load': {
				this.noteLoad(message.load);
				this.options.onTableVersion(message.tableVersion);
				break;
			}

			case 'map-loads': {
				this.options.onExpertLoads(message);
				break;
			}

			case 'leaving': {
				this.isLeaving = message.leaving;
				break;
			}

			default: {
				if (message.type === 'head') {
					this.options.onTableVersion(message.tableVersion);
				}

				if ('attempt' in message) {
					this.calls.get(`${message.id}/${message.attempt}`)?.receive(message);
				}
			}
		}
	}

	private handleWelcome(welcome: Welcome): void {
		if (this.welcome && this.welcome.incarnation !== welcome.incarnation) {
			this.failCalls('the target process was replaced');
		}

		this.welcome = welcome;
		this.disconnectedAt = undefined;
		this.isLeaving = welcome.leaving;
		this.noteLoad(welcome.load ?? unknownLoad);
		this.options.onTableVersion(welcome.tableVersion);
		for (const call of this.calls.values()) {
			this.send({
				type: 'resume', id: call.id, attempt: call.attempt, sequence: call.missingSequence,
			});
		}
	}

	private noteLoad(load: Load): void {
		this.load = load;
		this.loadAt = this.options.clock();
		this.sentSinceReport = 0;
	}

	private failCalls(reason: string): void {
		const calls = [...this.calls.values()];
		this.calls.clear();
		for (const call of calls) {
			call.settle({type: 'lost', reason});
		}
	}
}
