/*
 * A planner orders a hold that is carried out late, and its process is killed. The next planner prepares another map, sees the
 * late hold meanwhile and orders its release, which is carried out late as well, and is killed too. The planner after that arms the
 * ranks under this hold; the late release takes effect before all of them are armed.
 */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../stand-ins/caller.js';
import {isReady, makeEntries, makeRanks} from '../stand-ins/platform.js';
import {Programs} from '../stand-ins/programs.js';
import {RankGroup} from '../stand-ins/rank-group.js';
import {Record, waitUntil} from '../stand-ins/record.js';
import {Store} from '../stand-ins/store.js';

const hasTrouble = process.env.TROUBLE !== '0';
const size = 4;
const passMs = 45;
const copyMs = 300;
/** How late orders are carried out, milliseconds: 2 to 12 s. */
const leastLateMs = 2000;
const lateMs = 2500;
/** Time until the platform starts a process again that was killed, milliseconds. */
const restartMs = 700;
const secondRestartMs = 1500;

const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const store = new Store();
const programs = new Programs();
const group = new RankGroup({
	size, passMs, copyMs, record, service: 'ledge-model',
});

/** What has happened, as the stand-ins have seen it. Times in milliseconds. */
const seen = {
	holder: undefined, heldAt: undefined, isPreparing: false, goAt: undefined, hasGone: false,
};

let landHold;
const holdLands = new Promise(resolve => {
	landHold = resolve;
});
let landGo;
const goLands = new Promise(resolve => {
	landGo = resolve;
});

const fail = message => {
	throw new Error(message);
};

const beat = () => {
	for (const rank of group.ranks) {
		store.put(`servers/${rank.id}`, group.describe(rank));
	}
};

const findPlannerKey = () => store.findKey('wardswitch/planners/');
const findPlanner = ranks => {
	const key = findPlannerKey();
	return key && ranks.find(({internalPorts: [port]}) => store.get(key) === `127.0.0.1:${port}`);
};

/* Three orders to one worker get no answer and are carried out late: a hold, its release, and an order to arm. */
group.delayOrder = (rank, {operation}) => {
	if (!hasTrouble) {
		return undefined;
	}

	const now = performance.now();
	if (operation === 'hold' && seen.heldAt === undefined) {
		seen.heldAt = now;
		seen.holder = rank;
		return holdLands;
	}

	if (operation === 'go' && rank === seen.holder && seen.goAt === undefined) {
		seen.goAt = now;
		return goLands;
	}

	if (operation === 'arm' && rank === seen.holder && seen.goAt !== undefined && !seen.hasGone) {
		setTimeout(() => {
			seen.hasGone = true;
			landGo();
		}, Math.max(25, leastLateMs - (now - seen.goAt)));
		return delay(lateMs);
	}

	return undefined;
};

group.onOrder = (rank, {operation}) => {
	if (operation === 'prepare' && rank === seen.holder && !seen.isPreparing) {
		seen.isPreparing = true;
		// The late hold is carried out while the next map is copied.
		setTimeout(landHold, Math.max(60, leastLateMs - (performance.now() - seen.heldAt)));
	}
};

const killPlanner = async (ranks, downMs) => {
	const planner = findPlanner(ranks) ?? fail('no planner is known');
	record.note(`platform: process ${planner.nodeName}, the planner, is killed`);
	programs.signal(planner.nodeName, 'SIGKILL');
	await delay(downMs);
	programs.start(planner.nodeName, 'rank', planner);
	record.note(`platform: process ${planner.nodeName} is started again`);
};

const runTrouble = async (ranks, caller) => {
	const pending = [];
	const send = (tokens = 10) => {
		pending.push(caller.send({path: '/draft/2f', headers: {'wardswitch-token-usage': `700,${tokens}`}}));
	};

	// Steady traffic until the first hold is ordered.
	while (seen.heldAt === undefined) {
		send();
		await waitUntil(() => seen.heldAt !== undefined, 60);
		if (pending.length > 400) {
			fail('no planner has ordered a hold');
		}
	}

	const lastTerm = store.getRevision(findPlannerKey());
	await killPlanner(ranks, restartMs);
	if (!await waitUntil(() => findPlannerKey() !== undefined && store.getRevision(findPlannerKey()) > lastTerm, 8000)) {
		fail('no process has become planner after the first');
	}

	// Little traffic, so that the group does not reach the pass of the hold before the next planner has planned.
	await waitUntil(() => seen.isPreparing, 800);
	for (let number = 0; number < 4 && !seen.isPreparing; number++) {
		send(5);
		await waitUntil(() => seen.isPreparing, 350);
	}

	if (!await waitUntil(() => seen.goAt !== undefined, 5000)) {
		fail('the hold was not carried out while the next planner prepared a map');
	}

	const stopped = killPlanner(ranks, secondRestartMs);
	// Work waits at the held pass as the next planner arms the ranks.
	await delay(1650);
	for (let number = 0; number < 100; number++) {
		send();
		await delay(50);
	}

	await stopped;
	await Promise.all(pending);
};

const runCalm = async caller => {
	const pending = [];
	for (let number = 0; number < 160; number++) {
		pending.push(caller.send({path: '/draft/2f'}));
		await delay(60);
	}

	await Promise.all(pending);
	if (group.ranks.some(({map: {version}}) => version === 0)) {
		fail('no map was changed');
	}
};

let exitCode = 2;
try {
	await store.start();
	await group.start();
	store.put('op/config', JSON.parse(readFileSync(path.join(import.meta.dirname, 'config.json'), 'utf8')));
	beat();
	setInterval(beat, 1200).unref();
	const [entry] = await makeEntries(1, store);
	const ranks = await makeRanks(group, store);
	programs.start(entry.nodeName, 'entry', entry);
	for (const rank of ranks) {
		programs.start(rank.nodeName, 'rank', rank);
	}

	const caller = new Caller({host: '127.0.0.1', port: entry.port, record});
	for (let tries = 0; !await isReady(entry); tries++) {
		await delay(100);
		if (tries > 150) {
			fail('the entry does not become ready');
		}
	}

	await waitUntil(() => findPlanner(ranks) !== undefined, 10_000);
	await delay(1500);
	await (hasTrouble ? runTrouble(ranks, caller) : runCalm(caller));
	caller.close();
	const [mixed] = group.mixedPasses;
	exitCode = mixed ? 10 : 0;
	record.end(mixed ? `MAP is broken: pass ${mixed.step} began with the maps ${mixed.versions.join(', ')}; ${group.mixedPasses.length} passes in all` : 'MAP held');
} catch (error) {
	record.end(`could not run: ${error.stack}`);
} finally {
	await programs.close();
	group.close();
	store.close();
}

process.exitCode = exitCode;
