import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {type CrowdAim} from './crowd-aim.js';
import {type crowdForms} from './crowd-forms.js';

type Form = (typeof crowdForms)[string];

/** Callers that all do the same, on a connection each. */
export class Crowd {
	private sockets: Socket[] = [];
	private answers: Array<Promise<unknown>> = [];
	private writtenBefore = 0;

	constructor(private readonly aim: CrowdAim, private readonly address: {readonly host: string; readonly port: number}, private readonly form: Form) {}

	/** Bytes that the callers have handed to the system so far, in all rounds, and connections that were opened or have closed. */
	get progress(): number {
		const written = this.sockets.reduce((sum, {bytesWritten, writableLength, destroyed}) => sum + bytesWritten - writableLength + Number(destroyed), 0);
		return this.writtenBefore + written + this.sockets.filter(({connecting}) => !connecting).length;
	}

	/** Lets so many callers begin; in all rounds but the last they leave once `hasArrived` resolves. */
	async run(count: number, hasArrived: () => Promise<void>): Promise<void> {
		const rounds = this.form.rounds ?? 1;
		for (let round = 1; round <= rounds; round++) {
			this.leave();
			this.sockets = Array.from({length: count}, () => this.open());
			await hasArrived();
		}
	}

	/** Waits until each caller has an answer, or its connection has closed; returns the statuses, not a number where there is none. */
	async statuses(): Promise<number[]> {
		const answers = await Promise.all(this.answers);
		return answers.map(answer => Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(String(answer))?.groups!.status));
	}

	/** Closes all connections. */
	leave(): void {
		this.writtenBefore = this.progress;
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.sockets = [];
		this.answers = [];
	}

	private open(): Socket {
		const socket = connect({...this.address, noDelay: true});
		socket.on('error', () => undefined);
		if (!this.form.isDeaf) {
			this.answers.push(new Promise(resolve => {
				socket.once('close', resolve).once('data', resolve).resume();
			}));
		}

		socket.once('connect', () => {
			void this.write(socket);
		});
		return socket;
	}

	private async write(socket: Socket): Promise<void> {
		for (const bytes of this.form.write(this.aim)) {
			if (socket.destroyed) {
				return;
			}

			const isFlowing = socket.write(bytes);
			if (this.form.isTrickle) {
				await setImmediate();
			}

			if (!isFlowing) {
				const waiting = new AbortController();
				await Promise.race([once(socket, 'drain', waiting), once(socket, 'close', waiting)].map(async event => event.catch(() => undefined)));
				waiting.abort();
			}
		}
	}
}
