import {type GracePeriod} from '../callers/grace-period.js';
import {type Call} from '../calls/call.js';
import {type TargetLink} from '../calls/target-link.js';
import {type AttemptResult} from './attempt-result.js';
import {type Exchange} from './exchange.js';
import {relayAnswer} from './relay-answer.js';

/** How long to wait for the target's answer after a call was given up, milliseconds. */
const cancelTimeoutMs = 250;
/** How long to wait for it at the end of a planned stop, milliseconds: the caller's answer must be written within 200 ms. */
const stopCancelTimeoutMs = 100;

type FollowOptions = {
	readonly link: TargetLink;
	readonly exchange: Exchange;
	/** Milliseconds until the deadline. */
	readonly timeoutMs: number;
	/** Whether the target is told to cancel when the call is given up; a keyed run goes on, since others may still ask for its answer. */
	readonly mayCancel: boolean;
	/** The time that a planned stop of this process leaves. */
	readonly grace: GracePeriod;
};

/** Follows one call to its end and relays its answer to the caller. The call is given up at the deadline, at the end of a planned stop, or when the caller disconnects. */
export async function followCall(call: Call, options: FollowOptions): Promise<AttemptResult> {
	const {link, exchange, timeoutMs, mayCancel, grace} = options;
	let graceTimer: NodeJS.Timeout | undefined;
	const giveUp = (reason: string, waitMs = cancelTimeoutMs): void => {
		if (mayCancel) {
			link.cancel(call);
		}

		graceTimer ??= setTimeout(() => {
			call.settle({type: 'lost', reason});
		}, waitMs);
	};

	const deadlineTimer = setTimeout(() => {
		giveUp('the deadline passed');
	}, timeoutMs);
	const onCallerAbort = (): void => {
		giveUp('the caller left');
	};

	const cancelStop = grace.watchRun(() => {
		// An answer that has begun gets all that arrives until its connection closes.
		if (!exchange.response.headersSent) {
			giveUp('this entry stops', stopCancelTimeoutMs);
		}
	});

	call.countBytes(bytes => exchange.memory.grow('answer', bytes));
	exchange.callerAbort.signal.addEventListener('abort', onCallerAbort, {once: true});
	try {
		return await readResult(call, exchange);
	} finally {
		clearTimeout(deadlineTimer);
		clearTimeout(graceTimer);
		cancelStop();
		exchange.callerAbort.signal.removeEventListener('abort', onCallerAbort);
		link.release(call);
	}
}

async function readResult(call: Call, exchange: Exchange): Promise<AttemptResult> {
	const event = await call.nextEvent();
	switch (event.type) {
		case 'head': {
			return {kind: 'answered', isComplete: await relayAnswer(event, call, exchange)};
		}

		case 'refused': {
			return {kind: 'not-run', reason: event.reason, retryAfterMs: event.retryAfterMs};
		}

		case 'unsent': {
			return {kind: 'not-run', reason: 'unsent', retryAfterMs: 0};
		}

		case 'cancelled': {
			return event.started
				? {kind: 'lost', reason: 'the deadline passed'}
				: {kind: 'not-run', reason: 'late', retryAfterMs: 0};
		}

		case 'lost':
		case 'broken': {
			return {kind: 'lost', reason: event.reason};
		}

		default: {
			return {kind: 'lost', reason: `the target answered out of order with ${event.type}`};
		}
	}
}
