import {makeCrashRecords} from '../../src/forward/make-crash-records.js';
import {makeEntryState} from '../../src/forward/make-entry-state.js';
import {makeForwardPipeline} from '../../src/forward/make-forward-pipeline.js';
import {type ChangeFeed} from '../../src/key-value/change-feed.js';
import {type Registry} from '../../src/key-value/registry.js';
import {type LinkConnection} from '../../src/link/link-connection.js';
import {plainSource} from '../../stand-ins/forward/plain-source.js';
import {type SimulatedEntry} from './simulated-entry.js';

type EntryOptions = {
	readonly id: string;
	readonly address: string;
	readonly availabilityZone: string;
	/** The store, with the delays and losses of this entry's calls. */
	readonly store: ChangeFeed & Registry;
	readonly connect: (peer: string) => Promise<LinkConnection>;
	readonly clock: () => number;
	readonly random: () => number;
	readonly log: (line: string) => void;
};

/** Wires an entry as a process does, without callers and sockets. */
export function makeSimulatedEntry({id, address, availabilityZone, store, connect, clock, random, log}: EntryOptions): SimulatedEntry {
	const path = makeForwardPipeline({
		availabilityZone,
		repeats: {ratio: 0.2, slack: 90, windowMs: 10_000},
		clock,
		random,
		countRegistered: () => state.countRegistered(),
		isNewFleet: () => state.isNewFleet(),
		getService: () => undefined,
		onLoadChange: () => undefined,
		onRetryRefusal: () => undefined,
		onSend: () => undefined,
		onCrash: () => undefined,
		onUrgentReport: () => undefined,
		onRefusal: () => undefined,
		onLeave(target, source) {
			state.fleet.noteLeave(target, source, clock());
		},
		log,
		address,
		listPeers: now => state.mesh.listLivePeers(now),
		sendToPeer: () => false,
		openTransport: () => ({
			send: async () => ({kind: 'not-run', reason: 'not sent', wasSent: false}),
			check: async () => 'listens',
			drop: () => undefined,
			retire: () => undefined,
			close: () => undefined,
		}),
	});
	const crashRecords = makeCrashRecords(path.crashes, {registry: store, log});
	const state = makeEntryState({
		id,
		incarnation: String(clock()),
		address,
		availabilityZone,
		feed: store,
		registry: store,
		source: plainSource,
		directory: path.tracker.directory,
		inFlightCounts: path.inFlightCounts,
		connect,
		clock,
		random,
		delay: async ms => new Promise(resolve => {
			setTimeout(resolve, ms);
		}),
		getDigest: (isFull, now) => path.getDigest(isFull, now),
		onDigest(peer, digest, isSameZone, now) {
			path.mergeDigest(peer, digest, isSameZone, now);
		},
		onMessage: () => undefined,
		onTable: () => undefined,
		onChange(changed, now) {
			for (const records of crashRecords) {
				records.read(changed, now);
			}
		},
		onLeave(target) {
			path.removeTarget(target);
		},
		onRestart(target) {
			path.resetTarget(target);
		},
		onGroupFormed(failureDomain) {
			path.noteGroupFormed(failureDomain);
		},
		log: {view: log, fleet: log, entry: log},
	});
	return {
		id, address, startedAt: clock(), path, state, servedVersions: new Set(), version: 0, dropped: new Set(), usedAfterLeave: new Set(), used: new Set(),
	};
}
