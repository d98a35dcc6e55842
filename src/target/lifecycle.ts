import {
	createMachine, interpret, state, transition,
} from 'robot3';

const machine = createMachine('serving', {
	serving: state(transition('stop', 'leaving')),
	leaving: state(transition('start', 'serving'), transition('drained', 'stopped')),
	stopped: state(),
});

/** Where a target stands between its start and its planned stop. */
export class Lifecycle {
	private readonly service = interpret(machine, () => {
		this.onChange();
	});

	/** @param onChange - called after each change of state */
	constructor(private readonly onChange: () => void) {}

	get state(): 'serving' | 'leaving' | 'stopped' {
		return this.service.machine.current as 'serving' | 'leaving' | 'stopped';
	}

	/** Begins a planned stop: nothing new is taken from here on. */
	stop(): void {
		this.service.send('stop');
	}

	/** Takes a planned stop back. */
	start(): void {
		this.service.send('start');
	}

	/** Notes that the last running request has ended. */
	noteDrained(): void {
		this.service.send('drained');
	}
}
