import {type Answer} from './answer.js';

/** The target's whole answer, which the caller does not have yet. */
type Answered = {readonly kind: 'answered'; readonly answer: Answer};
/** A stream that the caller has whole. */
type Streamed = {readonly kind: 'streamed'};
/** Proof that the request did not run: it was not sent, or the target says so. */
type NotRun = {
	readonly kind: 'not-run';
	readonly reason: string;
	readonly wasSent: boolean;
	/** What the refusal says of the target: it is full, stopped with its group, or gone. */
	readonly cause?: 'busy' | 'group-down' | 'gone';
};
/** Whether the request ran is not known, or its stream broke off. */
type Lost = {
	readonly kind: 'lost';
	readonly reason: string;
	/** Whether the other side closed or reset the connection, as a target that crashes does. */
	readonly isConnectionClosed?: boolean;
	/** For how long the target had been answering, milliseconds; absent where it had not begun. */
	readonly answeringMs?: number;
};

/** How one send to one target ended. */
export type SendOutcome = Answered | Streamed | NotRun | Lost;
