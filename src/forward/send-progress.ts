import {type Target} from '../fleet/target.js';
import {type Answer} from './answer.js';
import {type StreamDelivery} from './stream-delivery.js';

/** The target of the next attempt, chosen while the present one is in flight; `pending` until a rate-limited target has granted a permit. */
type Reservation = {
	readonly target: Target;
	state: 'pending' | 'granted' | 'used';
	/** Until when it may be used, milliseconds: what is known of the target, and its permit, are of the time when it was made. */
	readonly expiresAt: number;
};

/** The state of one request across its attempts. */
export type SendProgress = {
	readonly delivery: StreamDelivery;
	/** Ids of the targets already tried. */
	readonly excluded: Set<string>;
	/** Attempts that may have reached a target. */
	sent: number;
	/** Of these, attempts that reached another target than the intended one, which is gone: no target has had the request. */
	misdirected: number;
	/** All attempts, including those that reached no target. */
	attempts: number;
	/** Whether the request is known not to have run in any attempt so far. */
	isNotRun: boolean;
	/** Whether the request could not be written to the target that was tried last. */
	isUnsendable: boolean;
	/** Whether the next attempt has already been charged to the retry budget. */
	isRetryCharged: boolean;
	/** The next attempt, if one has been reserved. */
	reservation: Reservation | undefined;
	/** Whether an earlier attempt was ended since its target was silent. */
	hasMoved: boolean;
	/** Whether the last attempt was lost with a connection that went silent together with others, through no fault of its target. */
	hasLostConnection: boolean;
	/** Why the last attempt gave no answer; may be sent to the caller. */
	reason: string;
	/** A target's error response, relayed to the caller if there is no other answer. */
	failure: Answer | undefined;
	/** Whether the request's deadline has passed; set by a timer, which may fire slightly before the clock reaches it. */
	isExpired: boolean;
	/** Requests of all entries in flight at the last chosen target when it was chosen. */
	inFlight: number;
};
