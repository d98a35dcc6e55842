import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetSimulation} from '../support/fleet-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

const slots = 8;
const streamSeconds = 0.9;
/** Share of the capacity that callers use. */
const usedShare = 0.3;
/** Time of calm before the entries are killed, milliseconds. */
const startMs = 12_000;
/** Time until the last callers have their answers, milliseconds. */
const answerMs = 3000;
const pollMs = 2;
/** Callers that waited for the entries, by target: they send their requests at once. */
const waitingPerTarget = 3;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;

Given('{int} entries before {int} targets that are {string}, seed {int}', function (this: SystemWorld, entries: number, targets: number, kind: string, seed: number) {
	this.notes.set('fleet', new FleetSimulation({
		entries, targets, requestsPerSecond: targets * slots / streamSeconds * usedShare, seed, isGroup: kind === 'one group',
	}));
});

Given('all prompts begin with the same part', function (this: SystemWorld) {
	const fleet = getFleet(this);
	fleet.isIdentical = false;
	fleet.drawPrompt = () => ['common'];
});

/* Crashes targets at the same moment: none of them notices before that its group has stopped. */
const crashSome = (fleet: FleetSimulation, count: number): void => {
	const running = fleet.targets.filter(({isDown}) => !isDown);
	const crashing = Array.from({length: Math.min(count, running.length)}, () => running.splice(fleet.draw(running.length), 1)[0]);
	for (const target of crashing) {
		target.crash();
	}

	for (const target of crashing) {
		fleet.crashTarget(target);
	}
};

When('{string} are killed and start again {int} ms later', async function (this: SystemWorld, which: string, downMs: number) {
	const fleet = getFleet(this);
	await fleet.advance(startMs);
	const killed = which === 'all entries' ? [...fleet.paths.keys()] : [0];
	for (const entry of killed) {
		fleet.killEntry(entry);
	}

	await fleet.advance(startMs + downMs);
	for (const entry of killed) {
		fleet.startEntry(entry);
	}

	this.notes.set('backAt', fleet.now);
});

When('{int} targets crash {int} ms after the next request arrives, and again {int} ms later', async function (this: SystemWorld, count: number, afterMs: number, againMs: number) {
	const fleet = getFleet(this);
	const before = fleet.arrivals.length;
	for (let left = fleet.targets.length * waitingPerTarget; left > 0; left--) {
		fleet.sendPrompt(fleet.drawPrompt?.() ?? []);
	}

	while (fleet.arrivals.length === before) {
		await fleet.advance(fleet.now + pollMs);
	}

	const crashAt = fleet.now + afterMs;
	await fleet.advance(crashAt);
	crashSome(fleet, count);
	if (againMs > 0) {
		await fleet.advance(crashAt + againMs);
		crashSome(fleet, count);
	}
});

const servedOnReturn = 'at least {int} in {int} of the requests from {int} s to {int} s after the entries are back are served';

Then(servedOnReturn, async function (this: SystemWorld, least: number, outOf: number, from: number, until: number) {
	const fleet = getFleet(this);
	const backAt = this.notes.get('backAt') as number;
	await fleet.advance(backAt + (until * 1000) + answerMs);
	const asked = fleet.calls.filter(({askedAt}) => askedAt >= backAt + (from * 1000) && askedAt < backAt + (until * 1000));
	const served = asked.filter(({isServed}) => isServed);
	assert.ok(asked.length > 100, `only ${asked.length} requests`);
	assert.ok(served.length >= asked.length * least / outOf, `${served.length} of ${asked.length}: ${fleet.lines.filter(line => line.includes(' is refused for ')).slice(0, 3).join('; ')}`);
});
