import {type ExpertMap} from '../maps/expert-map.js';
import {type RankOrder} from './rank-order.js';
import {type RankReport} from './rank-report.js';

type Proposal = {
	readonly version: number;
	readonly epoch: number;
	readonly map: ExpertMap;
};

type SwitchState = {
	/** Reports of all ranks, by rank, each read after every rank knew this planner's term. */
	readonly reports: readonly RankReport[];
	/** Map that the planner proposes; undefined when it only finishes a switch that another planner began. */
	readonly proposal: Proposal | undefined;
	/** Passes between the newest report and the switch: enough to see the hold and arm every rank before the group reaches that step. */
	readonly leadSteps: number;
	/** Rank that holds the group while the others are armed. */
	readonly holder: number;
};

type Decision = {
	readonly phase: 'idle' | 'prepare' | 'hold' | 'arm' | 'release' | 'finish';
	readonly orders: ReadonlyArray<{readonly rank: number; readonly order: RankOrder}>;
};

const areAllEqual = <Value>(values: readonly Value[], wanted: Value): boolean => values.every(value => value === wanted);

/**
 * Decides the next orders of a map switch from the ranks' reports alone, so that any planner can continue a switch that
 * another one started. A rank is armed only while the group is held before the step of the switch and every rank has
 * prepared the map; the group is released only when every rank is armed, so no step runs on two maps. Once any rank may
 * be armed, the switch is completed and never rolled back.
 */
export function decideOrders({reports, proposal, holder, leadSteps}: SwitchState): Decision {
	const held = reports.filter(({heldStep}) => heldStep !== undefined);
	const armed = reports.find(report => report.armed !== undefined)?.armed;
	if (armed) {
		return finishArming(reports, armed, held);
	}

	if (held.length > 0) {
		return resumeHeldSwitch(reports, held);
	}

	if (!proposal || reports.some(({mapVersion}) => mapVersion === proposal.version)) {
		return {phase: 'idle', orders: []};
	}

	const {version, epoch, map} = proposal;
	const unprepared = reports.filter(({preparedVersion}) => preparedVersion !== version);
	if (unprepared.length > 0) {
		return {
			phase: 'prepare',
			orders: unprepared.map(({rank}) => ({
				rank,
				order: {
					type: 'prepare', epoch, version, map: map.map(ranks => ranks.map(experts => [...experts])),
				},
			})),
		};
	}

	const step = Math.max(...reports.map(report => report.step)) + leadSteps;
	return {phase: 'hold', orders: [{rank: holder, order: {type: 'hold', epoch, step}}]};
}

/* At least one rank is armed, so the others are armed as well. */
function finishArming(reports: readonly RankReport[], armed: {readonly version: number; readonly step: number}, held: readonly RankReport[]): Decision {
	const unarmed = reports.filter(report => report.armed?.version !== armed.version || report.armed.step !== armed.step);
	if (unarmed.length > 0) {
		// Ranks that already use the map need no order; armed ranks switch when the step begins.
		const behind = unarmed.filter(({mapVersion}) => mapVersion !== armed.version);
		return {phase: 'arm', orders: behind.map(({rank, epoch}) => ({rank, order: {type: 'arm', epoch, ...armed}}))};
	}

	return makeReleases(held, 'release');
}

/*
 * The group is held and no rank reports that it is armed. If every rank has prepared the same map, an order to arm may
 * be in flight and take effect at any time, so all are armed. Otherwise no such order was sent, and the hold is released.
 */
function resumeHeldSwitch(reports: readonly RankReport[], held: readonly RankReport[]): Decision {
	const [{preparedVersion, mapVersion}] = reports;
	const isReady = preparedVersion !== undefined && preparedVersion > mapVersion
		&& areAllEqual(reports.map(report => report.preparedVersion), preparedVersion);
	if (!isReady) {
		return makeReleases(held, 'finish');
	}

	const step = Math.min(...held.map(({heldStep}) => heldStep!));
	return {
		phase: 'arm',
		orders: reports.map(({rank, epoch}) => ({
			rank,
			order: {
				type: 'arm', epoch, version: preparedVersion, step,
			},
		})),
	};
}

function makeReleases(held: readonly RankReport[], phase: 'release' | 'finish'): Decision {
	return {
		phase,
		orders: held.map(({rank, epoch, heldStep}) => ({rank, order: {type: 'release', epoch, step: heldStep!}})),
	};
}
