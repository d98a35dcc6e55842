import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetSimulation} from '../support/fleet-simulation.js';
import {type SystemWorld} from '../support/system-world.js';

type Sender = (fleet: FleetSimulation, elapsedMs: number) => void;

/** Number of crashes after which a part must be known at all entries, and the time until then, milliseconds. */
const crashesToIdentify = 5;
const settleMs = 3000;
const slots = 8;
const streamSeconds = 0.9;
/** A target crashes this long after it got the request, before it answers; or after the head of its answer. Milliseconds. */
const beforeAnswer = {from: 60, to: 140};
const withinAnswer = {from: 190, to: 240};
const [bad, otherBad] = ['bad-part', 'other-bad-part'];
/** Time of calm before these requests come, milliseconds. */
const startMs = 12_000;
/** Time after which entries are not restarted any more, milliseconds. */
const disruptedMs = 10_000;
/** Interval at which targets crash by themselves beside the part, milliseconds. */
const loneCrashMs = 1500;

const getFleet = (world: SystemWorld): FleetSimulation => world.notes.get('fleet') as FleetSimulation;
const drawFirst = (fleet: FleetSimulation): string => `first-${fleet.draw(3)}`;
const drawDocument = (fleet: FleetSimulation): string => `document-${fleet.draw(15)}`;

const sendMiddle: Sender = fleet => {
	fleet.sendPrompt([drawFirst(fleet), bad, drawDocument(fleet)]);
};

const senders: Record<string, Sender> = {
	'one part, after the first': sendMiddle,
	'one part, as the answer begins': sendMiddle,
	'one part, the first'(fleet) {
		fleet.sendPrompt([bad, drawDocument(fleet)]);
	},
	'one part, always before one other'(fleet) {
		fleet.sendPrompt([drawFirst(fleet), bad, 'rare-document']);
	},
	'two parts, the second 2 s later'(fleet, elapsedMs) {
		sendMiddle(fleet, elapsedMs);
		if (elapsedMs >= 2000) {
			fleet.sendPrompt([drawFirst(fleet), otherBad]);
		}
	},
	'two parts at once'(fleet, elapsedMs) {
		sendMiddle(fleet, elapsedMs);
		fleet.sendPrompt([drawFirst(fleet), otherBad]);
	},
	'one part, to all entries at once'(fleet) {
		for (const entry of fleet.paths.keys()) {
			fleet.sendPrompt([drawFirst(fleet), bad], entry);
		}
	},
	'two parts in one prompt'(fleet) {
		fleet.sendPrompt([drawFirst(fleet), bad, otherBad]);
	},
};

const restartAll = (fleet: FleetSimulation): void => {
	for (const entry of fleet.paths.keys()) {
		fleet.killEntry(entry);
	}

	for (const entry of fleet.paths.keys()) {
		fleet.startEntry(entry);
	}
};

/** Called before each of these requests with the time since the first, milliseconds; returns false if none is to be sent now. */
type Disruption = (fleet: FleetSimulation, elapsedMs: number) => boolean | void;

/** What happens beside these requests. */
const disruptions: Record<string, () => Disruption> = {
	'no disruption': () => () => undefined,
	'all entries start again'() {
		const times = [5000, 8000, disruptedMs];
		return (fleet, elapsedMs) => {
			if (elapsedMs >= times[0]) {
				times.shift();
				restartAll(fleet);
				// An entry takes no request before it has read the store.
				return false;
			}

			return true;
		};
	},
	'entries start again'() {
		let nextAt = 1000;
		return (fleet, elapsedMs) => {
			if (elapsedMs >= nextAt && elapsedMs < disruptedMs) {
				nextAt += 900;
				const entry = fleet.draw(fleet.paths.length);
				fleet.killEntry(entry);
				fleet.startEntry(entry);
			}
		};
	},
	'the store away': () => fleet => {
		for (const entry of fleet.paths.keys()) {
			fleet.store.setFault(`entry-${entry}`, 'down');
		}
	},
	'links cut': () => (fleet, elapsedMs) => {
		fleet.cutOff = elapsedMs >= 300 && elapsedMs < 8000 ? new Set([0, 1, 2]) : new Set();
	},
	'targets that crash alone'() {
		let nextAt = 0;
		return (fleet, elapsedMs) => {
			if (elapsedMs >= nextAt) {
				nextAt += loneCrashMs;
				const target = fleet.targets[fleet.draw(fleet.targets.length)];
				if (!target.isDown) {
					fleet.crashTarget(target);
				}
			}
		};
	},
};

Given('{int} entries and {int} ranks of one group, callers that use {int} tenths, seed {int}', function (this: SystemWorld, entries: number, targets: number, tenths: number, seed: number) {
	this.notes.set('fleet', new FleetSimulation({
		entries, targets, requestsPerSecond: targets * slots / streamSeconds * tenths / 10, seed, isGroup: true,
	}));
});

Given('the prompts of callers begin with one of {int} parts and go on with one of {int} documents', function (this: SystemWorld, firsts: number, documents: number) {
	const fleet = getFleet(this);
	fleet.isIdentical = false;
	fleet.drawPrompt = () => [`first-${fleet.draw(firsts)}`, `document-${fleet.draw(documents)}`];
});

When('requests that crash targets come every {int} ms for {int} s: {string}, with {string}', async function (this: SystemWorld, everyMs: number, seconds: number, part: string, disruption: string) {
	const fleet = getFleet(this);
	const {from, to} = part.endsWith('as the answer begins') ? withinAnswer : beforeAnswer;
	for (const id of [bad, otherBad]) {
		fleet.crashingParts.set(id, {afterMs: () => from + fleet.draw(to - from)});
	}

	const disrupt = disruptions[disruption]();
	const [start, end] = [startMs, startMs + (seconds * 1000)];
	await fleet.advance(start);
	while (fleet.now < end) {
		if (disrupt(fleet, fleet.now - start) ?? true) {
			senders[part](fleet, fleet.now - start);
		}

		await fleet.advance(fleet.now + everyMs);
	}

	await fleet.advance(end + 2000);
	// Callers of an entry that is killed send their requests again.
	this.notes.set('span', {from: disruption.endsWith('start again') ? start + disruptedMs + settleMs : start, until: end});
});

const listArrivals = (world: SystemWorld, part: string) => getFleet(world).arrivals.filter(({promptParts}) => promptParts.includes(part));
const listCrashTimes = (world: SystemWorld, part: string): number[] => getFleet(world).partCrashes.filter(crash => crash.part === part).map(({at}) => at);

Then('at most {int} targets crash under each part', function (this: SystemWorld, most: number) {
	const counts = [bad, otherBad].map(part => listCrashTimes(this, part).length);
	assert.ok(counts[0] > 0 && counts.every(count => count <= most), `${counts.join(' and ')} targets`);
});

Then('at most {int} of these requests reach targets later than {int} s after the fifth crash', function (this: SystemWorld, most: number, seconds: number) {
	for (const part of [bad, otherBad]) {
		const fifth = listCrashTimes(this, part).at(crashesToIdentify - 1) ?? Number.POSITIVE_INFINITY;
		const later = listArrivals(this, part).filter(({at}) => at > fifth + (seconds * 1000));
		assert.ok(later.length <= most, `${later.length} times`);
	}
});

const servedAtOnce = 'from {int} s after the fifth crash, at least {int} in {int} of the other requests are served at the first attempt';

Then(servedAtOnce, function (this: SystemWorld, seconds: number, least: number, outOf: number) {
	const {from: calm, until} = this.notes.get('span') as {from: number; until: number};
	const crashes = [bad, otherBad].map(part => listCrashTimes(this, part)).filter(times => times.length > 0);
	const identified = crashes.map(times => times[crashesToIdentify - 1] ?? times.at(-1)!);
	const from = Math.max(calm, ...identified.map(at => at + (seconds * 1000)));
	const asked = getFleet(this).calls.filter(({askedAt}) => askedAt >= from && askedAt < until - settleMs);
	const served = asked.filter(({isServed, tries}) => isServed && tries === 1);
	assert.ok(asked.length > 100, `only ${asked.length} requests`);
	assert.ok(served.length >= asked.length * least / outOf, `${served.length} of ${asked.length}`);
});

Then('no part is refused because of a crash', function (this: SystemWorld) {
	const refused = getFleet(this).lines.filter(line => /^part .* is refused/v.test(line));
	assert.deepEqual(refused, []);
});
