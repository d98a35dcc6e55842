import {type AnswerPart} from './answer-part.js';

type NumberedPart = {readonly sequence: number; readonly part: AnswerPart; readonly bytes: number};

/** Bytes counted for each part in addition to its chunk. */
const partOverheadBytes = 64;

/**
 * The numbered parts of one answer, kept at least until they are acknowledged.
 *
 * A replayable answer is kept from its start while it fits, so that a second caller with the same key can read it.
 */
export class AnswerBuffer {
	private parts: NumberedPart[] = [];
	private bufferedBytes = 0;
	private unacknowledgedBytes = 0;
	private nextSequence = 0;
	private acknowledged = 0;

	/**
	 * @param maximumBytes - buffered bytes above which acknowledged parts are dropped, and unacknowledged bytes from which the engine has to wait
	 * @param isReplayable - whether acknowledged parts are kept while there is room
	 */
	constructor(private readonly maximumBytes: number, private readonly isReplayable: boolean) {}

	/** Whether the answer has ended, complete or broken off. */
	get isEnded(): boolean {
		const last = this.parts.at(-1)?.part.type;
		return last === 'end' || last === 'broken';
	}

	/** Bytes of the parts that are kept. */
	get heldBytes(): number {
		return this.bufferedBytes;
	}

	/** Whether more parts may be added now; while false, reading from the engine pauses. */
	get hasRoom(): boolean {
		return this.unacknowledgedBytes < this.maximumBytes;
	}

	/** Whether every part so far has been acknowledged. */
	get isAcknowledged(): boolean {
		return this.acknowledged === this.nextSequence;
	}

	/** Adds a part and returns its sequence number. */
	add(part: AnswerPart): number {
		const bytes = partOverheadBytes + (part.type === 'data' ? part.chunk.length : 0);
		const sequence = this.nextSequence++;
		this.parts.push({sequence, part, bytes});
		this.bufferedBytes += bytes;
		this.unacknowledgedBytes += bytes;
		this.trim();
		return sequence;
	}

	/** Notes that a reader has received every part before `sequence`. */
	acknowledge(sequence: number): void {
		for (const part of this.parts) {
			if (part.sequence >= this.acknowledged && part.sequence < sequence) {
				this.unacknowledgedBytes -= part.bytes;
			}
		}

		this.acknowledged = Math.max(this.acknowledged, Math.min(sequence, this.nextSequence));
		this.trim();
	}

	/** Returns the parts from `sequence` on; undefined when some of them are no longer kept. */
	read(sequence: number): NumberedPart[] | undefined {
		const first = this.parts.at(0)?.sequence ?? this.nextSequence;
		return sequence < first ? undefined : this.parts.slice(sequence - first);
	}

	/** Drops all parts but the last one, which says that the answer has ended. */
	clear(): void {
		this.parts = this.parts.slice(-1);
		this.bufferedBytes = this.parts.reduce((sum, {bytes}) => sum + bytes, 0);
	}

	private trim(): void {
		const mustDrop = () => !this.isReplayable || this.bufferedBytes > this.maximumBytes;
		let count = 0;
		while (count < this.parts.length - 1 && this.parts[count].sequence < this.acknowledged && mustDrop()) {
			this.bufferedBytes -= this.parts[count].bytes;
			count++;
		}

		if (count > 0) {
			this.parts = this.parts.slice(count);
		}
	}
}
