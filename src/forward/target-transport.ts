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
	/** Called for each part of the target's answer. */
	readonly onProgress: () => void;
};

/** Sends requests to targets, and owns the connections to them. */
export type TargetTransport = {
	/** Sends a request to one target and resolves with the outcome; streams are relayed to the caller meanwhile. */
	send(options: SendOptions): Promise<SendOutcome>;
	/** Checks whether a process listens at a target's address. */
	check(target: Target): Promise<'listens' | 'refuses' | 'silent'>;
	/** Closes the idle connections to a target. */
	drop(target: string): void;
	close(): void;
};
