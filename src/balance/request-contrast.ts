type Sound = {readonly subjects: readonly string[]; readonly at: number};
type History = {readonly sent: ReadonlyArray<readonly string[]>; readonly sound: readonly Sound[]};
/**
 * How the requests without a subject fare: enough of them are answered, too few are yet, or hardly any request is without it, so that it is
 * present at nearly every crash by chance.
 */
type Verdict = 'sound' | 'pending' | 'none';

/** Number of recent requests to a service that are compared. */
const recentRequests = 64;
/** Time for which an answered request counts, milliseconds. */
const retentionMs = 60_000;
/** Answered requests without a subject that are needed to compare it with. */
const minimumSound = 8;
/** Share of the requests above which a subject counts as one of nearly all. */
const maximumShare = 0.5;

/** Compares the requests to a service that have a subject, such as a part of a prompt, with those that do not. */
export class RequestContrast {
	constructor(private histories: ReadonlyMap<string, History> = new Map()) {}

	/** Notes that a request with these subjects is sent to a service. */
	noteSent(service: string, subjects: readonly string[]): void {
		const {sent, sound} = this.getHistory(service);
		this.histories = new Map([...this.histories, [service, {sent: [...sent.slice(1 - recentRequests), subjects], sound}]]);
	}

	/** Notes that a target has answered a request with these subjects; `now` in milliseconds. */
	noteSound(service: string, subjects: readonly string[], now: number): void {
		const {sent, sound} = this.getHistory(service);
		this.histories = new Map([...this.histories, [service, {sent, sound: [...sound.slice(1 - recentRequests), {subjects, at: now}]}]]);
	}

	/** A copy that later requests do not change. */
	copy(): RequestContrast {
		return new RequestContrast(this.histories);
	}

	/** Compares the requests to a service with those that do not have a subject; `now` in milliseconds. */
	compare(service: string, subject: string, now: number): Verdict {
		const {sent, sound} = this.getHistory(service);
		const share = sent.filter(subjects => subjects.includes(subject)).length / Math.max(1, sent.length);
		if (share > maximumShare) {
			return 'none';
		}

		const others = sound.filter(({subjects, at}) => now - at <= retentionMs && !subjects.includes(subject));
		return others.length >= minimumSound ? 'sound' : 'pending';
	}

	private getHistory(service: string): History {
		return this.histories.get(service) ?? {sent: [], sound: []};
	}
}
