import {InFlightCounts} from '../balance/in-flight-counts.js';
import {ProbeBudget} from '../balance/probe-budget.js';
import {SharedRetryBudget} from '../balance/shared-retry-budget.js';
import {ServiceBreaker} from '../balance/service-breaker.js';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {type Service} from '../fleet/service.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type EntryDigest} from '../mesh/entry-digest.js';
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {CrashWatch} from './crash-watch.js';
import {ForwardDispatcher} from './forward-dispatcher.js';
import {type ForwardSurroundings} from './forward-surroundings.js';
import {StallWatch} from './stall-watch.js';
import {StreamAdmission} from './stream-admission.js';
import {TargetBook} from './target-book.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type BookOptions = ConstructorParameters<typeof TargetBook>[0];

type PathOptions = Pick<ForwardEntrySettings, 'availabilityZone' | 'repeats'> & Pick<ForwardSurroundings, 'clock' | 'random'> & Omit<BookOptions, 'countInFlight' | 'electEntry'> & {
	/** Address of this entry's links; peers are named by theirs. */
	readonly address: string;
	/** Opens the way to targets; the listener is told what is seen on it. */
	readonly openTransport: (listener: TransportListener) => TargetTransport;
	/** What operators have configured for a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
	/** Called when this entry's own requests in flight change. */
	readonly onLoad: () => void;
	/** Called when peers should hear at once what has been found. */
	readonly onFound: () => void;
	readonly onSend: (service: string, isRepeat: boolean) => void;
};

type ForwardPath = {
	readonly board: InFlightCounts;
	readonly book: TargetBook;
	readonly dispatcher: ForwardDispatcher;
	/** What peers are told; all of it where the peer may have heard nothing yet. */
	getDigest(isWhole: boolean, now: number): EntryDigest;
	/** Takes what a peer tells. */
	mergeDigest(peer: string, digest: EntryDigest, isNear: boolean, now: number): void;
	/** Looks for what has gone silent. */
	tick(): void;
	/** Drops what is kept for a target that takes no more requests. */
	forget(target: string): void;
	/** Drops what is known of the former life of a target that has started again. */
	renew(target: string): void;
	/** Lets requests go to a group that has been formed anew. */
	reopen(unit: string): void;
	close(): void;
};

/** Puts together what takes a request from the filters to a target: choice, gate, budget, connections, watch. */
export function makeForwardPath(options: PathOptions): ForwardPath {
	const {availabilityZone, repeats, openTransport, clock, random, countRegistered, getService, onLoad, onFound, onSend, log, address, listPeers} = options;
	const board = new InFlightCounts(onLoad);
	const electEntry = (key: string, now: number): string => rankByRendezvous(key, [address, ...listPeers(now)])[0];
	const book = new TargetBook({...options, electEntry, countInFlight: target => board.count(target, clock())});
	const {directory, health} = book;
	const gate = new ServiceBreaker(log);
	const admission = new StreamAdmission({
		board,
		listOpen: (service, now) => book.listOpen(service, now),
		isSound: ({id}, now) => book.getStanding(id, now) === 'sound',
		getService,
	});
	const stalls = new StallWatch({
		board,
		health,
		clock,
		log,
		onStopped(unit) {
			gate.noteDown(unit, clock(), 'none of its streams goes on');
		},
		onSilentConnection(target) {
			transport.drop(target);
		},
	});
	const transport: TargetTransport = openTransport({
		onHead(target, marks, sentAt) {
			book.noteHead({target, marks, sentAt}, clock());
		},
		onProgress(target) {
			const now = clock();
			board.noteProgress(target.id, now);
			gate.noteRunning(getFailureDomain(target), now);
		},
		onGap(target, gapMs) {
			admission.noteGap(target, gapMs);
		},
	});
	const crashes = new CrashWatch({
		check: async target => transport.check(target),
		health,
		isElected: (key, now) => electEntry(key, now) === address,
		onFound,
		clock,
		log,
	});
	const dispatcher = new ForwardDispatcher({
		send: async sendOptions => transport.send(sendOptions),
		book,
		crashes,
		board,
		gate,
		probes: new ProbeBudget(),
		budget: new SharedRetryBudget({...repeats, countEntries: now => Math.max(board.countLivePeers(now) + 1, countRegistered())}),
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
		book,
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
		forget(target) {
			transport.drop(target);
			board.prune(id => directory.get(id) !== undefined);
			book.prune();
		},
		renew(target) {
			transport.drop(target);
			book.renew(target);
			crashes.noteRenewal(target);
		},
		reopen(unit) {
			gate.noteRunning(unit, clock());
		},
		close() {
			transport.close();
		},
	};
}
