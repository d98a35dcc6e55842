import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type StreamDelivery} from './stream-delivery.js';

type SendOptions = {
	readonly exchange: ForwardExchange;
	readonly target: Target;
	readonly delivery: StreamDelivery;
	/** Ends the send from outside; the reason says why. */
	readonly signal: AbortSignal;
	/** Called for each piece of the target's answer. */
	readonly onProgress: () => void;
};

/** The way to targets, and what is kept open to them. */
export type TargetTransport = {
	/** Sends a request to one target and follows it to its end; streams are passed to the caller meanwhile. */
	send(options: SendOptions): Promise<SendOutcome>;
	/** Looks whether anybody listens at a target's address. */
	check(target: Target): Promise<'listens' | 'refuses' | 'silent'>;
	/** Drops what is kept for a target that takes no more requests. */
	drop(target: string): void;
	close(): void;
};
