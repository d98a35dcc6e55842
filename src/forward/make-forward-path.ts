import {LoadBoard} from '../balance/load-board.js';
import {ProbeBudget} from '../balance/probe-budget.js';
import {RepeatBudget} from '../balance/repeat-budget.js';
import {ServiceGate} from '../balance/service-gate.js';
import {TargetHealth} from '../balance/target-health.js';
import {TargetLimits} from '../balance/target-limits.js';
import {TargetRefusals} from '../balance/target-refusals.js';
import {TargetRests} from '../balance/target-rests.js';
import {type ForwardEntrySettings} from '../config/forward-entry-settings.js';
import {type TargetStanding} from '../balance/target-standing.js';
import {type Service} from '../fleet/service.js';
import {getUnit} from '../fleet/get-unit.js';
import {TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {ForwardDispatcher} from './forward-dispatcher.js';
import {type ForwardSurroundings} from './forward-surroundings.js';
import {noteAnswerHead} from './note-answer-head.js';
import {StallWatch} from './stall-watch.js';
import {StreamAdmission} from './stream-admission.js';
import {type TargetTransport} from './target-transport.js';
import {type TransportListener} from './transport-listener.js';

type PathOptions = Pick<ForwardEntrySettings, 'availabilityZone' | 'repeats'> & Pick<ForwardSurroundings, 'clock' | 'random'> & {
	/** Opens the way to targets; the listener is told what is seen on it. */
	readonly openTransport: (listener: TransportListener) => TargetTransport;
	/** Entries registered in the store, this one included: after a start, or in a cut, fewer are heard than share the budget. */
	readonly countRegistered: () => number;
	/** What operators have configured for a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
	/** Called when this entry's own requests in flight change. */
	readonly onLoad: () => void;
	/** Told of each request that a target turned away, and whether it asked for rest. */
	readonly onRefusal: (service: string, isRestAsked: boolean) => void;
	/** Told of a target that says in its answers that it leaves. */
	readonly onLeave: (target: Target) => void;
	readonly onSend: (service: string, isRepeat: boolean) => void;
	readonly log: (message: string) => void;
};

type ForwardPath = {
	readonly board: LoadBoard;
	readonly directory: TargetDirectory;
	readonly refusals: TargetRefusals;
	readonly rests: TargetRests;
	readonly limits: TargetLimits;
	readonly dispatcher: ForwardDispatcher;
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
export function makeForwardPath({availabilityZone, repeats, openTransport, clock, random, countRegistered, getService, onLoad, onRefusal, onLeave, onSend, log}: PathOptions): ForwardPath {
	const board = new LoadBoard(onLoad);
	const health = new TargetHealth();
	const refusals = new TargetRefusals(log);
	const rests = new TargetRests(log);
	const limits = new TargetLimits(log);
	const directory = new TargetDirectory();
	const gate = new ServiceGate(log);
	const listOpen = (service: string, now: number): readonly Target[] => directory.list(service).filter(({id}) => rests.getRemaining(id, now) === 0);
	const getStanding = (target: string, now: number): TargetStanding => health.isAvoided(target, now) ? 'avoided' : refusals.getStanding(target, now);
	const admission = new StreamAdmission({
		board, listOpen, isSound: ({id}, now) => getStanding(id, now) === 'sound', getService,
	});
	const stalls = new StallWatch({
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
			noteAnswerHead({target, marks, sentAt}, clock(), {
				directory, rests, limits, refusals, board, onRefusal, onLeave,
			});
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
	const dispatcher = new ForwardDispatcher({
		send: async options => transport.send(options),
		directory,
		listOpen,
		getStanding,
		board,
		gate,
		health,
		refusals,
		rests,
		limits,
		probes: new ProbeBudget(),
		budget: new RepeatBudget({...repeats, countEntries: now => Math.max(board.countPeers(now) + 1, countRegistered())}),
		stalls,
		admission,
		availabilityZone,
		clock,
		random,
		onSend,
	});
	const isKnown = (target: string): boolean => directory.get(target) !== undefined;

	return {
		board,
		directory,
		refusals,
		rests,
		limits,
		dispatcher,
		tick() {
			const now = clock();
			stalls.tick();
			refusals.tick(now);
			rests.tick(now, isKnown);
			admission.tick(now);
		},
		forget(target) {
			transport.drop(target);
			board.prune(isKnown);
			health.prune(isKnown);
			refusals.prune(isKnown);
		},
		renew(target) {
			transport.drop(target);
			health.forget(target);
			refusals.forget(target);
			rests.forget(target);
			limits.forget(target);
		},
		reopen(unit) {
			gate.open(unit, clock());
		},
		close() {
			transport.close();
		},
	};
}
