import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type StreamDelivery} from './stream-delivery.js';

type SendOptions = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly delivery: StreamDelivery;
	/** Aborts the attempt; the signal's reason says why. */
	readonly signal: AbortSignal;
	/** Called with the time at which the connection taken last proved to work, milliseconds. */
	readonly onConnection: (aliveAt: number) => void;
	/** Called for each part of the target's answer. */
	readonly onProgress: () => void;
	/** Called for each part of the body of a successful answer. */
	readonly onAnswerPart: () => void;
};

/** Sends requests to targets, and owns the connections to them. */
export type TargetTransport = {
	/** Sends a request to one target and resolves with the outcome; streams are relayed to the caller meanwhile. */
	send(options: SendOptions): Promise<SendOutcome>;
	/** Checks whether a process listens at a target's address. */
	check(target: Target): Promise<'listens' | 'refuses' | 'silent'>;
	/** Closes the idle connections to a target. */
	drop(target: string): void;
	/** Closes the idle connections to all targets that were last used before `before`, milliseconds. */
	retire(before: number): void;
	close(): void;
};
