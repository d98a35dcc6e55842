type Sound = {readonly subjects: readonly string[]; readonly at: number};
type History = {sent: Array<readonly string[]>; sound: Sound[]};

/** Number of recent requests to a service that are compared. */
const recentRequests = 64;
/** Time for which an answered request counts, milliseconds. */
const retentionMs = 60_000;
/** Answered requests without a subject that are needed to compare it with. */
const minimumSound = 8;
/** A subject of more requests than this share meets nearly every crash by chance. */
const maximumShare = 0.5;

/** Compares the requests to a service that have a subject, such as a part of a prompt, with those that do not. */
export class RequestContrast {
	private readonly histories = new Map<string, History>();

	/** Notes that a request with these subjects is sent to a service. */
	noteSent(service: string, subjects: readonly string[]): void {
		const history = this.getHistory(service);
		history.sent = [...history.sent.slice(1 - recentRequests), subjects];
	}

	/** Notes that a target has answered a request with these subjects; `now` in milliseconds. */
	noteSound(service: string, subjects: readonly string[], now: number): void {
		const history = this.getHistory(service);
		history.sound = [...history.sound.slice(1 - recentRequests), {subjects, at: now}];
	}

	/** Whether enough requests without a subject are sent and answered, so that crashes in which it was lost tell something of it; `now` in milliseconds. */
	isTelling(service: string, subject: string, now: number): boolean {
		const {sent, sound} = this.getHistory(service);
		const others = sound.filter(({subjects, at}) => now - at <= retentionMs && !subjects.includes(subject));
		const share = sent.filter(subjects => subjects.includes(subject)).length / Math.max(1, sent.length);
		return others.length >= minimumSound && share <= maximumShare;
	}

	private getHistory(service: string): History {
		const history = this.histories.get(service) ?? {sent: [], sound: []};
		this.histories.set(service, history);
		return history;
	}
}
