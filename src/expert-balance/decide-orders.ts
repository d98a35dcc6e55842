import {type ExpertMap} from '../maps/expert-map.js';
import {type HoldRecord} from './hold-record.js';
import {type RankOrder} from './rank-order.js';
import {type RankReport} from './rank-report.js';

type Proposal = {
	/** Higher than all versions of earlier terms. */
	readonly version: number;
	readonly epoch: number;
	readonly map: ExpertMap;
	/** Whether it only replaces prepared maps, so that orders to switch to them are refused; it is never put in force. */
	readonly isReplacement: boolean;
};

type SwitchState = {
	/** Reports of all ranks, by rank, each read after every rank knew this planner's term. */
	readonly reports: readonly RankReport[];
	/** Map that the planner proposes; undefined while it proposes none. */
	readonly proposal: Proposal | undefined;
	/** Step of the next hold: far enough ahead to see the hold and arm every rank before; undefined while none may be ordered. */
	readonly nextStep: number | undefined;
	/** Rank that holds the group while the others are armed. */
	readonly holder: number;
	/** The holds that this planner has ordered. */
	readonly holds: Pick<HoldRecord, 'isOwn' | 'isReliable' | 'getArmedStep' | 'hasArmed'>;
};

type Decision = {
	readonly phase: 'idle' | 'prepare' | 'hold' | 'arm' | 'undo' | 'release' | 'finish';
	readonly orders: ReadonlyArray<{readonly rank: number; readonly order: RankOrder}>;
	/** Whether a proposal is needed that replaces all prepared maps, before the group may be released. */
	readonly needsReplacement?: boolean;
};

type Armed = {readonly version: number; readonly step: number};

const idle: Decision = {phase: 'idle', orders: []};

/**
 * Decides the next orders of a map switch from the ranks' reports and this planner's own holds. Orders may take effect late, after
 * newer ones, also those of earlier planners:
 *
 * - Ranks are armed only while the group is held by a hold that this planner ordered, saw in effect and did not release: no release
 *   of that step can be in flight. If some rank is armed, no release was ordered either, and any planner completes the switch.
 * - A version is armed for one step only, after every rank has prepared it.
 * - The group is released when every rank is armed, or when none is and no order to arm can take effect any more: this planner sent
 *   none for that hold, or every rank has prepared a later version, which it is not ordered to switch to at that step.
 * - Versions increase with terms, and a rank refuses to prepare a lower one than it had. Armed ranks refuse to prepare. So a rank
 *   that has prepared a later version than an armed one shows that this switch cannot be completed, and it is undone.
 */
export function decideOrders(state: SwitchState): Decision {
	const {reports, proposal, holds} = state;
	const held = reports.filter(({heldStep}) => heldStep !== undefined);
	const armed = reports.find(report => report.armed !== undefined)?.armed;
	if (armed) {
		return finishArming(reports, armed, held);
	}

	if (held.length > 0) {
		return arm(state, held) ?? endHold(state, held);
	}

	const isInUse = reports.some(({mapVersion}) => mapVersion === proposal?.version);
	if (!proposal || proposal.isReplacement || isInUse || holds.getArmedStep(proposal.version) !== undefined) {
		return idle;
	}

	return prepare(proposal, reports, 'prepare') ?? hold(state, proposal.epoch);
}

/* At least one rank is armed, so the others are armed as well, unless one cannot be. */
function finishArming(reports: readonly RankReport[], armed: Armed, held: readonly RankReport[]): Decision {
	const isArmed = (report: RankReport): boolean => report.armed?.version === armed.version && report.armed.step === armed.step;
	const unarmed = reports.filter(report => !isArmed(report));
	if (unarmed.some(({preparedVersion}) => (preparedVersion ?? 0) > armed.version)) {
		const armedRanks = reports.filter(report => isArmed(report));
		return {phase: 'undo', orders: armedRanks.map(({rank, epoch}) => ({rank, order: {type: 'disarm', epoch, version: armed.version}}))};
	}

	if (unarmed.length > 0) {
		// Ranks that already use the map need no order; armed ranks switch when the step begins.
		const behind = unarmed.filter(({mapVersion}) => mapVersion !== armed.version);
		return makeArming(behind, armed);
	}

	return makeReleases(held, 'release');
}

/* Arms all ranks under an own hold; undefined if none may be armed. */
function arm({reports, proposal, holds}: SwitchState, held: readonly RankReport[]): Decision | undefined {
	if (!proposal || proposal.isReplacement || reports.some(({preparedVersion}) => preparedVersion !== proposal.version)) {
		return undefined;
	}

	const reliable = held.map(({heldStep}) => heldStep!).filter(step => holds.isReliable(step));
	const step = holds.getArmedStep(proposal.version) ?? Math.min(...reliable);
	return reliable.includes(step) ? makeArming(reports, {version: proposal.version, step}) : undefined;
}

/* The group is held, and no rank is armed nor may be: it is released as soon as no order to arm can take effect. */
function endHold({reports, proposal, holds}: SwitchState, held: readonly RankReport[]): Decision {
	if (held.every(({heldStep}) => holds.isOwn(heldStep!) && !holds.hasArmed(heldStep!))) {
		return makeReleases(held, 'finish');
	}

	if (!proposal || holds.getArmedStep(proposal.version) !== undefined) {
		return {phase: 'finish', orders: [], needsReplacement: true};
	}

	return prepare(proposal, reports, 'finish') ?? makeReleases(held, 'finish');
}

/* Orders to prepare for the ranks that have not; undefined when all have. */
function prepare({version, epoch, map}: Proposal, reports: readonly RankReport[], phase: 'prepare' | 'finish'): Decision | undefined {
	const unprepared = reports.filter(({preparedVersion}) => preparedVersion !== version);
	const orders = unprepared.map(({rank}) => ({
		rank,
		order: {
			type: 'prepare' as const, epoch, version, map: map.map(ranks => ranks.map(experts => [...experts])),
		},
	}));
	return orders.length === 0 ? undefined : {phase, orders};
}

function hold({nextStep, holder}: SwitchState, epoch: number): Decision {
	return {phase: 'hold', orders: nextStep === undefined ? [] : [{rank: holder, order: {type: 'hold', epoch, step: nextStep}}]};
}

function makeArming(reports: readonly RankReport[], {version, step}: Armed): Decision {
	return {
		phase: 'arm',
		orders: reports.map(({rank, epoch}) => ({
			rank,
			order: {
				type: 'arm', epoch, version, step,
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
