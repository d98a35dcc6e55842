import {type LinkMessage} from '../link/link-message.js';
import {type CallEvent} from './call-event.js';

/** Consumed parts after which the next acknowledgement is sent to the target. */
const acknowledgeIntervalParts = 8;

const mayHoldAll = (): boolean => true;

/**
 * One attempt of a request at one target, on the entry's side.
 *
 * Parts of the answer are emitted in sequence and once each, also after the link was lost: a part that came before is
 * dropped, and after a gap the target is asked to resume at the missing part.
 */
export class Call {
	private readonly events: CallEvent[] = [];
	private waiter: ((event: CallEvent) => void) | undefined;
	private nextSequence = 0;
	private consumed = 0;
	private acknowledged = 0;
	private isSettled = false;
	private mayHold: (bytes: number) => boolean = mayHoldAll;

	/**
	 * @param id - id of the request
	 * @param attempt - number of the attempt; answers to other attempts do not belong to this call
	 * @param send - sends a message to the target; false when there is no link
	 */
	constructor(readonly id: string, readonly attempt: number, private readonly send: (message: LinkMessage) => boolean) {}

	/** Sequence number of the first part that has not arrived. */
	get missingSequence(): number {
		return this.nextSequence;
	}

	/** Whether the call has ended; no event follows those already received. */
	get isEnded(): boolean {
		return this.isSettled;
	}

	/** Sets the function that is asked before bytes of the answer are kept; the call ends as lost when it returns false. */
	countBytes(mayHold: (bytes: number) => boolean): void {
		this.mayHold = mayHold;
	}

	/** Handles a message from the target for this call. */
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

	/** Ends the call with an event that is not part of an answer; ignored when the call has ended. */
	settle(event: CallEvent): void {
		if (this.isSettled) {
			return;
		}

		this.isSettled = true;
		this.emit(event);
	}

	/** Waits for the next event and marks it as consumed. There may be only one reader. */
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

		if (message.type === 'data' && !this.mayHold(message.chunk.length)) {
			this.send({type: 'cancel', id: this.id, attempt: this.attempt});
			this.settle({type: 'lost', reason: 'no memory is left to buffer the answer'});
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
			// Copied, since the chunk is a view of the whole piece that was read from the link.
			this.events.push(event.type === 'data' ? {...event, chunk: new Uint8Array(event.chunk)} : event);
		}
	}

	/* Acknowledges parts that the reader has consumed. The target stops reading from its engine while too many bytes are unacknowledged. */
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
