import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RetryBudget} from '../../src/requests/retry-budget.js';
import {FleetSimulation} from '../support/fleet-simulation.js';
import {type StoreSimulation} from '../support/store-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

type Window = {readonly endsAt: number; readonly retries: number; readonly allowed: number};

/** The budget in the simulation: retries per request, retries per window in addition, and the length of the window, milliseconds. */
const ratio = 0.2;
const defaultSlack = 90;
const windowMs = 10_000;
const entries = 6;
/** Retries per request over links. */
const linkRatio = 0.1;
/** Time from a kill until the process runs again, milliseconds. */
const restartMs = 400;

const getSimulation = (world: SystemWorld): StoreSimulation => world.notes.get('simulation') as StoreSimulation;
const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;

const restart = (fleet: FleetSimulation, atMs: number, restarted: readonly number[]): void => {
	fleet.after(atMs, () => {
		for (const entry of restarted) {
			fleet.killEntry(entry);
		}
	});
	fleet.after(atMs + restartMs, () => {
		for (const entry of restarted) {
			fleet.startEntry(entry);
		}
	});
};

const all = [...Array.from({length: entries}).keys()];
const restartInTurn = (fleet: FleetSimulation, fromMs: number): void => {
	for (const entry of all) {
		restart(fleet, fromMs + (entry * restartMs), [entry]);
	}
};

/** Schedules the restarts of a row, counted from the time at which the targets fail. */
const patterns: Readonly<Record<string, (fleet: FleetSimulation) => void>> = {
	never: () => undefined,
	'all at once, twice'(fleet) {
		restart(fleet, 2000, all);
		restart(fleet, 4000, all);
	},
	'all at once, three times'(fleet) {
		for (const atMs of [2000, 4000, 6000]) {
			restart(fleet, atMs, all);
		}
	},
	'one after the other'(fleet) {
		restartInTurn(fleet, 2000);
	},
	'one after the other, twice'(fleet) {
		restartInTurn(fleet, 1000);
		restartInTurn(fleet, 1000 + (entries * restartMs));
	},
	'half of them, four times'(fleet) {
		for (const atMs of [1000, 2500, 4000, 5500]) {
			restart(fleet, atMs, all.slice(0, entries / 2));
		}
	},
	'all at once, then one after another'(fleet) {
		restart(fleet, 2000, all);
		restartInTurn(fleet, 3000);
	},
	'four one after the other, while two are cut off'(fleet) {
		fleet.cutOff = new Set([0, 1]);
		fleet.registeredEntries = entries - fleet.cutOff.size;
		for (const entry of all.slice(fleet.cutOff.size)) {
			restart(fleet, entry * restartMs, [entry]);
		}
	},
	'two one after the other, while four are cut off'(fleet) {
		fleet.cutOff = new Set([2, 3, 4, 5]);
		fleet.registeredEntries = 2;
		restart(fleet, 0, [0]);
		restart(fleet, restartMs, [1]);
	},
	'at random'(fleet) {
		const times = [0, 0, 0, 0, 0, 0];
		for (let count = 0; count < 20; count++) {
			const entry = fleet.draw(entries);
			times[entry] += 500 + fleet.draw(2000);
			restart(fleet, times[entry], [entry]);
		}
	},
};

const startFleet = (world: SystemWorld, seed: number, slack: number): void => {
	world.notes.set('slack', slack);
	world.notes.set('fleet', new FleetSimulation({
		entries, targets: 8, requestsPerSecond: 40, seed, maximumAttempts: 3, slack,
	}));
};

Given('6 entries and 8 targets, and 40 requests per second of 3 attempts each, seed {int}', function (this: SystemWorld, seed: number) {
	startFleet(this, seed, defaultSlack);
});

Given('6 entries and 8 targets, 40 requests per second of 3 attempts each, and a slack of {int}, seed {int}', function (this: SystemWorld, slack: number, seed: number) {
	startFleet(this, seed, slack);
});

When('all targets break off every request from second {int} to {int}, and entries restart {string}', async function (this: SystemWorld, from: number, until: number, pattern: string) {
	const fleet = getFleet(this);
	await fleet.advance(from * 1000);
	for (const target of fleet.targets) {
		target.isBreakingOff = true;
	}

	patterns[pattern](fleet);
	await fleet.advance(until * 1000);
});

/* Counts the retries in each window that ends with one, and what the budget allows there. */
const listWindows = (world: SystemWorld): Window[] => {
	const {arrivals, requestTimes} = getFleet(world);
	const slack = world.notes.get('slack') as number;
	const retryTimes = arrivals.filter(({isRetry}) => isRetry).map(({at}) => at);
	const count = (times: readonly number[], until: number): number => times.filter(at => at > until - windowMs && at <= until).length;
	return retryTimes.map(endsAt => {
		// The budget goes by the busiest of this window, the one before it and the one half a window earlier.
		const requests = Math.max(...[0, windowMs / 2, windowMs].map(earlier => count(requestTimes, endsAt - earlier)));
		return {endsAt, retries: count(retryTimes, endsAt), allowed: (ratio * requests) + slack};
	});
};

Then('the retries stay within the budget in every window', function (this: SystemWorld) {
	const windows = listWindows(this);
	assert.ok(windows.length > 0);
	assert.deepEqual(windows.filter(({retries, allowed}) => retries > allowed).slice(0, 1), []);
});

Then('at least {int} hundredths of the retries that the budget allows are sent in some window', function (this: SystemWorld, hundredths: number) {
	const used = Math.max(...listWindows(this).map(({retries, allowed}) => retries / allowed));
	assert.ok(used >= hundredths / 100, `${(used * 100).toFixed(1)} of 100`);
});

const startAgain = async (simulation: StoreSimulation, ids: readonly string[]): Promise<void> => {
	for (const id of ids) {
		simulation.kill(id);
	}

	await simulation.advance(restartMs);
	for (const id of ids) {
		simulation.start(id);
	}
};

/** What happens to entries that have started for the first time, by the words of the rows. */
const starts: Readonly<Record<string, (simulation: StoreSimulation) => Promise<void>>> = {
	async 'nothing happens'(simulation) {
		await simulation.advance(restartMs);
	},
	async 'entry 1 restarts'(simulation) {
		await startAgain(simulation, ['1']);
	},
	async 'all entries restart'(simulation) {
		await startAgain(simulation, [...simulation.entries.keys()]);
	},
	async 'entry 7 joins after 20 s'(simulation) {
		await simulation.advance(20_000);
		simulation.start('7');
	},
	async 'the store loses the registrations, and all entries restart'(simulation) {
		await simulation.restoreFromBackup({outageMs: 0, rewriteDelayMs: 0});
		for (const id of simulation.entries.keys()) {
			simulation.store.remove(`wardswitch/entries/${id}`);
		}

		await startAgain(simulation, [...simulation.entries.keys()]);
	},
};

When('entries have started for the first time, and {string}', async function (this: SystemWorld, event: string) {
	const simulation = getSimulation(this);
	await starts[event](simulation);
	await simulation.advance(2000);
});

Then('{string} know that no process before them has used the budget', function (this: SystemWorld, expected: string) {
	const known = [...getSimulation(this).entries.values()].filter(({state}) => state.isNewFleet()).map(({id}) => id);
	assert.equal(known.toSorted().join(' '), expected);
});

When('{int} processes start one after the other, and each retries what the budget allows for {int} requests over links', function (this: SystemWorld, processes: number, requests: number) {
	let retries = 0;
	for (let started = 0; started < processes; started++) {
		const budget = new RetryBudget(linkRatio);
		for (let sent = 0; sent < requests; sent++) {
			budget.deposit();
			retries += budget.tryWithdraw() ? 1 : 0;
		}
	}

	this.notes.set('retries', retries);
});

Then('they have sent no more than {int} retries', function (this: SystemWorld, most: number) {
	const retries = this.notes.get('retries') as number;
	assert.ok(retries <= most, String(retries));
});
