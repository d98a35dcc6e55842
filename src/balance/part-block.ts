import {type RequestContrast} from './request-contrast.js';

type Accusation = {
	/** Crashes that the part explains. */
	readonly crashes: ReadonlySet<string>;
	/** Other parts that explain the same crashes. */
	readonly rivals: readonly string[];
	/** Number of moments at which targets crashed. */
	readonly events: number;
};

type Knowledge = {
	/** The block before the last crash. */
	readonly former: PartBlock | undefined;
	/** Whether another entry has confirmed it. */
	readonly isConfirmed: boolean;
};

/** A part is refused for this time, milliseconds, and with each further event `blockGrowth` times as long: most do not change within a day. */
const firstBlockMs = 120_000;
const blockGrowth = 8;
const maximumBlockMs = 86_400_000;
/**
 * As long as requests without the part do not fare better, as when all have it, the block is short, milliseconds, so that a probe soon ends
 * it if the part is sound. It doubles with each further event. After a while any entry may probe, if the elected one gets no requests.
 */
const firstDoubtfulBlockMs = 2000;
const maximumDoubtfulBlockMs = 30_000;
const electedProbeMs = 1000;
/** Time for which a probe waits for requests without the part to be answered first, milliseconds, so that its outcome can be compared: a group takes as long to form. */
const contrastWaitMs = 6000;
/** When a request returns that meets a probe that a peer has to send, milliseconds: soon, or after a confirmed block. */
const soonMs = 500;
const probeWaitMs = 10_000;

const getBlockMs = (events: number, isConfirmed: boolean): number => {
	const further = Math.max(0, events - 2);
	return isConfirmed
		? Math.min(maximumBlockMs, firstBlockMs * (blockGrowth ** further))
		: Math.min(maximumDoubtfulBlockMs, firstDoubtfulBlockMs * (2 ** further));
};

/** A part of prompts that is refused. Times are in milliseconds. */
export class PartBlock {
	readonly crashes: ReadonlySet<string>;
	rivals: readonly string[];
	/** When a request with the part last came. */
	seenAt: number;
	/** Since when it is known that requests without the part fared better before the last crash; undefined if it is not. */
	confirmedAt: number | undefined;
	private readonly events: number;
	private readonly crashedAt: number;
	private until: number;

	/** @param contrast - how requests fared before the last crash */
	constructor(private readonly part: string, {crashes, rivals, events}: Accusation, private readonly contrast: RequestContrast, {former, isConfirmed}: Knowledge, now: number) {
		this.crashes = crashes;
		this.rivals = rivals;
		this.events = events;
		this.seenAt = former?.seenAt ?? now;
		this.crashedAt = now;
		this.confirmedAt = former?.confirmedAt ?? (isConfirmed ? now : undefined);
		this.until = now + getBlockMs(events, this.isConfirmed);
	}

	get isConfirmed(): boolean {
		return this.confirmedAt !== undefined;
	}

	/** Confirms that the part explains the crashes. */
	confirm(now: number): void {
		this.confirmedAt = now;
		this.until = now + getBlockMs(this.events, true);
	}

	/** Whether requests to a service without the part fared better before the last crash. */
	hasContrast(service: string): boolean {
		return this.contrast.compare(service, this.part, this.crashedAt) === 'sound';
	}

	/** Whether one of the parts that explain the same crashes is among these, so that a request with them does not show which is the cause. */
	isAmbiguousFor(parts: readonly string[]): boolean {
		return this.rivals.length === 0 || this.rivals.some(rival => parts.includes(rival));
	}

	/**
	 * Gets for how long requests with the part are refused; 0 when one may be sent as a probe.
	 *
	 * @param present - how requests to `service` fare now
	 * @param mayProbe - whether this entry, rather than a peer, may send the probe
	 */
	getWaitMs(service: string, present: RequestContrast, mayProbe: boolean, now: number): number {
		if (now < this.until) {
			return this.until - now;
		}

		if (this.isConfirmed) {
			return mayProbe ? 0 : probeWaitMs;
		}

		if (now < this.until + contrastWaitMs && present.compare(service, this.part, now) === 'pending') {
			return soonMs;
		}

		return mayProbe || now >= this.until + electedProbeMs ? 0 : soonMs;
	}

	/** Describes the block for the log. */
	describe(now: number): string {
		const doubt = this.rivals.length > 0 ? `, or it was ${this.rivals.join(' or ')}` : '';
		const contrast = this.isConfirmed ? '' : '; requests without it have not fared better yet';
		return `part ${this.part} is refused for ${Math.round(this.until - now)} ms: targets crashed as they began to answer requests with it (${[...this.crashes].join(', ')})${doubt}${contrast}`;
	}
}
