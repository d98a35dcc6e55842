import {type Answer} from './answer.js';

/** A complete answer of the target, not yet relayed to the caller. */
type Answered = {readonly kind: 'answered'; readonly answer: Answer};
/** A stream relayed to the caller completely. */
type Streamed = {readonly kind: 'streamed'};
/** The request certainly did not run: it was not sent, or the target states so. */
type NotRun = {
	readonly kind: 'not-run';
	readonly reason: string;
	readonly wasSent: boolean;
	/** Why: the target is full, its group has stopped, it is gone, the request cannot be sent to any target, no connection may be opened now, or this process stops. */
	readonly cause?: 'busy' | 'group-down' | 'gone' | 'invalid' | 'no-connection' | 'stopping';
};
/** It is unknown whether the request ran, or its stream was interrupted. */
type Lost = {
	readonly kind: 'lost';
	readonly reason: string;
	/** Whether the other side closed or reset the connection, as a target that crashes does. */
	readonly isConnectionClosed?: boolean;
	/** Whether the target has sent more than any answer may have, possibly without end. */
	readonly isExcessive?: boolean;
	/** Time since the target began to answer, milliseconds; absent when it had not begun. */
	readonly answeringMs?: number;
};

/** The outcome of sending a request to one target. */
export type SendOutcome = Answered | Streamed | NotRun | Lost;
