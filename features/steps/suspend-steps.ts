import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {SuspendAwareClock} from '../../src/config/suspend-aware-clock.js';
import {readMonotonicClock} from '../../src/config/read-monotonic-clock.js';
import {type ForwardSystem} from '../support/forward-system.js';
import {type SystemWorld} from '../support/system-world.js';

/** A VM's clocks as a process reads them. */
type Clocks = {
	steadyMs: number;
	timeOfDayMs: number;
	uptimeMs: number;
	/** Rate of the uptime relative to the other clocks. */
	readonly uptimePace: number;
	/** Called once within the next reading of the monotonic clock. */
	onRead: (() => void) | undefined;
	readonly clock: SuspendAwareClock;
	readonly lines: string[];
};

/** Interval at which the process reads its clocks, milliseconds. */
const readIntervalMs = 10;

const getClocks = (world: SystemWorld): Clocks => world.notes.get('clocks') as Clocks;

const advance = (clocks: Clocks, ms: number): void => {
	for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += readIntervalMs) {
		clocks.steadyMs += readIntervalMs;
		clocks.timeOfDayMs += readIntervalMs;
		clocks.uptimeMs += readIntervalMs * clocks.uptimePace;
		clocks.clock.read();
	}
};

const start = (world: SystemWorld, uptimePace: number): Clocks => {
	const lines: string[] = [];
	const clocks: Clocks = {
		steadyMs: 40,
		timeOfDayMs: 1_700_000_000_000,
		uptimeMs: 86_400_000,
		uptimePace,
		onRead: undefined,
		lines,
		clock: new SuspendAwareClock({
			readMonotonic() {
				const {steadyMs, onRead} = clocks;
				clocks.onRead = undefined;
				onRead?.();
				return steadyMs;
			},
			readWallClock: () => clocks.timeOfDayMs,
			readUptime: () => clocks.uptimeMs,
			log(message) {
				lines.push(message);
			},
		}),
	};
	world.notes.set('clocks', clocks);
	advance(clocks, 5000);
	world.notes.set('before', clocks.clock.read());
	return clocks;
};

Given('a process whose clocks have run for 5000 ms', function (this: SystemWorld) {
	start(this, 1);
});

Given('a process whose VM\'s uptime advances {float} times as fast as its other clocks', function (this: SystemWorld, pace: number) {
	start(this, pace);
});

When('its VM is suspended for {int} ms and its time of day steps by {int} ms', function (this: SystemWorld, suspendedMs: number, stepMs: number) {
	const clocks = getClocks(this);
	clocks.timeOfDayMs += suspendedMs + stepMs;
	clocks.uptimeMs += suspendedMs;
});

When('it is frozen for {int} ms between one reading and the next', function (this: SystemWorld, ms: number) {
	const clocks = getClocks(this);
	clocks.onRead = () => {
		clocks.steadyMs += ms;
		clocks.timeOfDayMs += ms;
		clocks.uptimeMs += ms;
	};

	clocks.clock.read();
});

When('{int} ms pass for its clocks', function (this: SystemWorld, ms: number) {
	advance(getClocks(this), ms);
});

Then('its clock has advanced by {int} ms', function (this: SystemWorld, ms: number) {
	assert.equal(Math.round(getClocks(this).clock.read() - (this.notes.get('before') as number)), ms);
});

Then('its log says that the VM\'s uptime cannot be used', function (this: SystemWorld) {
	const {lines} = getClocks(this);
	assert.ok(lines.some(line => line.includes('time since the VM was started')), lines.join('\n'));
});

When('a caller waits for {string} as the entry\'s VM is suspended for {int} ms', async function (this: SystemWorld, request: string, ms: number) {
	const system = this.notes.get('forward') as ForwardSystem;
	const [method, path] = request.split(' ');
	this.notes.set('answer', system.call({method, path, body: 'a block'}));
	await system.until(() => system.targets.get('target-1')!.runs.length === 1);
	system.skip(ms);
	this.notes.set('resumedAt', readMonotonicClock());
});

Then('the caller is told within {int} s that it is unknown whether the request ran', async function (this: SystemWorld, seconds: number) {
	const {status, body} = await (this.notes.get('answer') as ReturnType<ForwardSystem['call']>);
	assert.equal(status, 504);
	assert.equal((JSON.parse(body) as {outcome: string}).outcome, 'unknown');
	assert.ok(readMonotonicClock() - (this.notes.get('resumedAt') as number) <= seconds * 1000);
});
