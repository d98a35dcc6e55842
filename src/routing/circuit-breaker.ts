import {
	createMachine, guard, interpret, reduce, state, transition,
} from 'robot3';

type CircuitContext = {failures: number; openUntil: number; openings: number};
type FailureEvent = {readonly type: 'fail'; readonly now: number};

/** Consecutive failures that open the circuit. */
const failuresToOpen = 3;
/** How long the circuit stays open at first, milliseconds; doubled at each failed probe. */
const firstOpenMs = 1000;
const maximumOpenMs = 30_000;

const countFailure = (context: CircuitContext, event: unknown): CircuitContext => {
	const {now} = event as FailureEvent;
	const openMs = Math.min(firstOpenMs * (2 ** context.openings), maximumOpenMs);
	return {failures: context.failures + 1, openUntil: now + openMs, openings: context.openings + 1};
};

const machine = createMachine('closed', {
	closed: state(
		transition('fail', 'open', guard((context: CircuitContext) => context.failures + 1 >= failuresToOpen), reduce(countFailure)),
		transition('fail', 'closed', reduce((context: CircuitContext) => ({...context, failures: context.failures + 1}))),
		transition('succeed', 'closed', reduce(() => ({failures: 0, openUntil: 0, openings: 0}))),
	),
	open: state(
		transition('fail', 'open'),
		transition('probe', 'probing'),
	),
	probing: state(
		transition('fail', 'open', reduce(countFailure)),
		transition('succeed', 'closed', reduce(() => ({failures: 0, openUntil: 0, openings: 0}))),
	),
}, (): CircuitContext => ({failures: 0, openUntil: 0, openings: 0}));

/** A circuit breaker for one target: opens after repeated failures, for an exponentially growing time, then lets one probe through. */
export class CircuitBreaker {
	private readonly service = interpret(machine, () => undefined);

	/** Whether requests are blocked at `now`, milliseconds; true as well while a probe is under way. */
	isOpen(now: number): boolean {
		const {current} = this.service.machine;
		return current === 'probing' || (current === 'open' && now < this.service.context.openUntil);
	}

	/** Time until which the circuit is open, on the clock passed to `noteFailure`, milliseconds; 0 when it is closed. */
	get openUntil(): number {
		return this.service.context.openUntil;
	}

	/** Notes that a request is sent; while the circuit is open, it is the probe. */
	noteSend(): void {
		this.service.send('probe');
	}

	/** Notes a failure caused by the target or its link; `now` in milliseconds. */
	noteFailure(now: number): void {
		this.service.send({type: 'fail', now} as never);
	}

	/** Notes an answer, which closes the circuit. */
	noteSuccess(): void {
		this.service.send('succeed');
	}
}
