import {type LinkMessage} from '../link/link-message.js';
import {type CallEvent} from './call-event.js';

/** Parts after which the reader's progress is told to the target. */
const acknowledgeIntervalParts = 8;

/**
 * One attempt of a request at one target, as its entry sees it.
 *
 * Parts of the answer come out in sequence and once each, whatever the link did: an older part is dropped, and a
 * gap makes the call ask for the missing part.
 */
export class Call {
	private readonly events: CallEvent[] = [];
	private waiter: ((event: CallEvent) => void) | undefined;
	private nextSequence = 0;
	private consumed = 0;
	private acknowledged = 0;
	private isSettled = false;

	/**
	 * @param id - id of the request
	 * @param attempt - number of the attempt; an answer to another attempt is not ours
	 * @param send - sends a message to the target, if there is a link
	 */
	constructor(readonly id: string, readonly attempt: number, private readonly send: (message: LinkMessage) => boolean) {}

	/** Sequence number of the next part that is missing. */
	get missingSequence(): number {
		return this.nextSequence;
	}

	/** Whether the call has ended; nothing more comes. */
	get isEnded(): boolean {
		return this.isSettled;
	}

	/** Takes a message of the target for this call. */
	receive(message: LinkMessage): void {
		switch (message.type) {
			case 'head':
			case 'data':
			case 'end':
			case 'broken': {
				this.receivePart(message);
				break;
			}

			case 'refused':
			case 'cancelled': {
				this.settle(message);
				break;
			}

			default:
		}
	}

	/** Ends the call with something other than an answer. */
	settle(event: CallEvent): void {
		if (this.isSettled) {
			return;
		}

		this.isSettled = true;
		this.emit(event);
	}

	/** Waits for the next event. */
	async nextEvent(): Promise<CallEvent> {
		const event = this.events.shift() ?? await new Promise<CallEvent>(resolve => {
			this.waiter = resolve;
		});
		this.acknowledge(event);
		return event;
	}

	private receivePart(message: Extract<CallEvent, {sequence: number}>): void {
		if (this.isSettled || message.sequence < this.nextSequence) {
			return;
		}

		if (message.sequence > this.nextSequence) {
			this.send({
				type: 'resume', id: this.id, attempt: this.attempt, sequence: this.nextSequence,
			});
			return;
		}

		this.nextSequence++;
		this.isSettled = message.type === 'end' || message.type === 'broken';
		this.emit(message);
	}

	private emit(event: CallEvent): void {
		if (this.waiter) {
			const {waiter} = this;
			this.waiter = undefined;
			waiter(event);
		} else {
			this.events.push(event);
		}
	}

	/* A part counts as taken once the reader comes for the next: until then the target holds back the engine. */
	private acknowledge(event: CallEvent): void {
		if (!('sequence' in event)) {
			return;
		}

		this.consumed = event.sequence + 1;
		const isLast = event.type === 'end' || event.type === 'broken';
		if (isLast || this.consumed - this.acknowledged >= acknowledgeIntervalParts) {
			this.acknowledged = this.consumed;
			this.send({
				type: 'acknowledge', id: this.id, attempt: this.attempt, sequence: this.consumed,
			});
		}
	}
}
