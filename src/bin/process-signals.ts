import process from 'node:process';

type Receiver = (signal: NodeJS.Signals) => void;

const received: NodeJS.Signals[] = [];
let receiver: Receiver = signal => {
	received.push(signal);
};

const handle = (signal: NodeJS.Signals): void => {
	receiver(signal);
};

// Without a handler a signal ends the process, so a program must import this module before all that take time to load.
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'] as const) {
	process.on(signal, handle);
}

/** The signals of this process, kept from its start until there is a receiver. */
export const processSignals = {
	/** Delivers the signals that have arrived, and all later ones. */
	deliverTo(next: Receiver): void {
		receiver = next;
		for (const signal of received.splice(0)) {
			next(signal);
		}
	},
};
