import {type Answer} from './answer.js';
import {type StreamDelivery} from './stream-delivery.js';

/** What is known of one request between its sends. */
export type SendProgress = {
	readonly delivery: StreamDelivery;
	/** Targets that the request was sent to already. */
	readonly excluded: Set<string>;
	/** Sends that may have reached a target. */
	sent: number;
	/** Those of them that met another target than the one meant, which is gone: no target has had the request. */
	misdirected: number;
	/** All sends, those that reached no target included. */
	attempts: number;
	/** Whether every send so far is known not to have run. */
	isNotRun: boolean;
	/** Whether the budget of repeats has been charged with the next send. */
	isRetryCharged: boolean;
	/** Why the last send brought no answer. */
	reason: string;
	/** A failure that a target answered, for the caller if no other answer comes. */
	failure: Answer | undefined;
	/** Whether the request's time is up; timers may fire a little before the clock says so. */
	isExpired: boolean;
	/** Requests of all entries at the target of the last send when it was chosen. */
	inFlight: number;
};
