import {LoadBoard} from '../balance/load-board.js';
import {ProbeBudget} from '../balance/probe-budget.js';
import {RepeatBudget} from '../balance/repeat-budget.js';
import {ServiceGate} from '../balance/service-gate.js';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {type Service} from '../fleet/service.js';
import {getUnit} from '../fleet/get-unit.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {CrashDetector} from './crash-detector.js';
import {ForwardDispatcher} from './forward-dispatcher.js';
import {type ForwardDependencies} from './forward-dependencies.js';
import {StallDetector} from './stall-detector.js';
import {StreamAdmission} from './stream-admission.js';
import {TargetTracker} from './target-tracker.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type BookOptions = ConstructorParameters<typeof TargetTracker>[0];

type PathOptions = Pick<ForwardEntrySettings, 'availabilityZone' | 'repeats'> & Pick<ForwardDependencies, 'clock' | 'random'> & Omit<BookOptions, 'countInFlight' | 'electEntry'> & {
	/** Address of this entry's links; peers are named by theirs. */
	readonly address: string;
	/** Opens the way to targets; the listener is told what is seen on it. */
	readonly openTransport: (listener: TransportListener) => TargetTransport;
	/** What operators have configured for a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
	/** Called when this entry's own requests in flight change. */
	readonly onLoadChange: () => void;
	/** Called when peers should hear at once what has been found. */
	readonly onCrashFound: () => void;
	readonly onSend: (service: string, isRepeat: boolean) => void;
};

type ForwardPipeline = {
	readonly board: LoadBoard;
	readonly tracker: TargetTracker;
	readonly dispatcher: ForwardDispatcher;
	/** What peers are told; all of it where the peer may have heard nothing yet. */
	getDigest(isWhole: boolean, now: number): EntryDigest;
	/** Takes what a peer tells. */
	mergeDigest(peer: string, digest: EntryDigest, isNear: boolean, now: number): void;
	/** Looks for what has gone silent. */
	tick(): void;
	/** Drops what is kept for a target that takes no more requests. */
	removeTarget(target: string): void;
	/** Drops what is known of the former life of a target that has started again. */
	resetTarget(target: string): void;
	/** Lets requests go to a group that has been formed anew. */
	noteGroupFormed(unit: string): void;
	close(): void;
};

/** Puts together what takes a request from the filters to a target: choice, gate, budget, connections, watch. */
export function makeForwardPipeline(options: PathOptions): ForwardPipeline {
	const {availabilityZone, repeats, openTransport, clock, random, countRegistered, getService, onLoadChange: onLoad, onCrashFound: onFound, onSend, log, address, listPeers} = options;
	const board = new LoadBoard(onLoad);
	const electEntry = (key: string, now: number): string => rankByRendezvous(key, [address, ...listPeers(now)])[0];
	const book = new TargetTracker({...options, electEntry, countInFlight: target => board.count(target, clock())});
	const {directory, health} = book;
	const gate = new ServiceGate(log);
	const admission = new StreamAdmission({
		board,
		listAvailable: (service, now) => book.listAvailable(service, now),
		isHealthy: ({id}, now) => book.getStanding(id, now) === 'sound',
		getService,
	});
	const stalls = new StallDetector({
		board,
		health,
		clock,
		log,
		onStopped(unit) {
			gate.close(unit, clock(), 'none of its streams goes on');
		},
		onSilentConnection(target) {
			transport.drop(target);
		},
	});
	const transport: TargetTransport = openTransport({
		onHead(target, marks, sentAt) {
			book.noteAnswerHead({target, marks, sentAt}, clock());
		},
		onProgress(target) {
			const now = clock();
			board.progress(target.id, now);
			gate.open(getUnit(target), now);
		},
		onGap(target, gapMs) {
			admission.noteGap(target, gapMs);
		},
	});
	const crashes = new CrashDetector({
		check: async target => transport.check(target),
		health,
		isElected: (key, now) => electEntry(key, now) === address,
		onCrashFound: onFound,
		clock,
		log,
	});
	const dispatcher = new ForwardDispatcher({
		send: async sendOptions => transport.send(sendOptions),
		tracker: book,
		crashes,
		board,
		gate,
		probes: new ProbeBudget(),
		budget: new RepeatBudget({...repeats, countEntries: now => Math.max(board.countPeers(now) + 1, countRegistered())}),
		stalls,
		admission,
		availabilityZone,
		clock,
		random,
		countRegistered,
		onSend,
	});

	return {
		board,
		tracker: book,
		dispatcher,
		getDigest: (isWhole, now) => ({...book.getDigest(now), ...crashes.suspects.getDigest(isWhole, now)}),
		mergeDigest(peer, digest, isNear, now) {
			book.mergeDigest(peer, digest, isNear, now);
			crashes.suspects.merge(digest, now);
		},
		tick() {
			const now = clock();
			crashes.suspects.tick(now);
			stalls.tick();
			book.tick(now);
			admission.tick(now);
		},
		removeTarget(target) {
			transport.drop(target);
			board.prune(id => directory.get(id) !== undefined);
			book.prune();
		},
		resetTarget(target) {
			transport.drop(target);
			book.resetTarget(target);
			crashes.noteRestart(target);
		},
		noteGroupFormed(unit) {
			gate.open(unit, clock());
		},
		close() {
			transport.close();
		},
	};
}
