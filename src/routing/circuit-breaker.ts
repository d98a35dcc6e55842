import {
	createMachine, guard, interpret, reduce, state, transition,
} from 'robot3';

type CircuitContext = {failures: number; openUntil: number; openings: number};
type FailureEvent = {readonly type: 'fail'; readonly now: number};

const failuresToOpen = 3;
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

/** Keeps requests from a target that fails: closed, open for a growing time, then one probe. */
export class CircuitBreaker {
	private readonly service = interpret(machine, () => undefined);

	/** Whether the target is kept out at `now`. */
	isOpen(now: number): boolean {
		const {current} = this.service.machine;
		return current === 'probing' || (current === 'open' && now < this.service.context.openUntil);
	}

	/** Until when the target is kept out, milliseconds since the epoch; 0 when it is not. */
	get openUntil(): number {
		return this.service.context.openUntil;
	}

	/** Notes that a request is sent; after an opening it is the probe. */
	noteSend(): void {
		this.service.send('probe');
	}

	/** Notes a failure that the target or its link is to blame for. */
	noteFailure(now: number): void {
		this.service.send({type: 'fail', now} as never);
	}

	/** Notes an answer. */
	noteSuccess(): void {
		this.service.send('succeed');
	}
}
