import {
	createMachine, interpret, state, transition,
} from 'robot3';

const machine = createMachine('serving', {
	serving: state(transition('stop', 'leaving')),
	leaving: state(transition('start', 'serving'), transition('drained', 'stopped')),
	stopped: state(),
});

/** State machine of a target process: serving, leaving (a planned stop, which can be revoked) and stopped. */
export class Lifecycle {
	private readonly service = interpret(machine, () => {
		this.onChange();
	});

	/** @param onChange - called after each change of state */
	constructor(private readonly onChange: () => void) {}

	get state(): 'serving' | 'leaving' | 'stopped' {
		return this.service.machine.current as 'serving' | 'leaving' | 'stopped';
	}

	/** Begins a planned stop: from here on no new requests are accepted. */
	stop(): void {
		this.service.send('stop');
	}

	/** Revokes a planned stop. */
	start(): void {
		this.service.send('start');
	}

	/** Notes that the last request has ended, or that the process stops waiting for it. */
	noteDrained(): void {
		this.service.send('drained');
	}
}
