import {maximumLeadSteps} from './maximum-lead-steps.js';
import {type RankReport} from './rank-report.js';

type Hold = {isReleased: boolean; readonly armedVersions: Set<number>};

const getStep = (reports: readonly RankReport[]): number => Math.max(...reports.map(({step}) => step));

/** The holds that one planner has ordered in the present epoch, by step, and what it has ordered for them since. */
export class HoldRecord {
	private readonly holds = new Map<number, Hold>();
	/** First step of the group beyond all that earlier planners may have held; undefined until all ranks have reported to this planner. */
	private firstStep: number | undefined;

	/** Whether this planner has ordered a hold of this step. */
	isOwn(step: number): boolean {
		return this.holds.has(step);
	}

	/** Whether no release of this step can be in flight: the hold is this planner's own, and it has not ordered its release. */
	isReliable(step: number): boolean {
		return this.holds.get(step)?.isReleased === false;
	}

	/** The step for which ranks were ordered to switch to a version; undefined if none was. */
	getArmedStep(version: number): number | undefined {
		return [...this.holds].find(([, {armedVersions}]) => armedVersions.has(version))?.[0];
	}

	/** Whether a rank was ordered to switch to any version at this step. */
	hasArmed(step: number): boolean {
		return (this.holds.get(step)?.armedVersions.size ?? 0) > 0;
	}

	/** Records the order of a hold. */
	noteHold(step: number): void {
		this.holds.set(step, {isReleased: false, armedVersions: new Set()});
	}

	/** Records that a rank was ordered to switch to a version at a step. */
	noteArm(version: number, step: number): void {
		this.holds.get(step)?.armedVersions.add(version);
	}

	/** Records that the release of a step was ordered. */
	noteRelease(step: number): void {
		const hold = this.holds.get(step);
		if (hold) {
			hold.isReleased = true;
		}
	}

	/**
	 * Records the first reports of all ranks to this planner. A release of an earlier planner's hold may take effect at any time, so no own
	 * hold may have the same step. Earlier planners chose steps within the maximum lead of the steps that they knew of.
	 */
	noteReports(reports: readonly RankReport[]): void {
		this.firstStep ??= getStep(reports) + maximumLeadSteps;
	}

	/**
	 * Finds the step of the next hold. Steps increase, so that a late release of one hold does not release the next, and stay within the
	 * maximum lead.
	 *
	 * @param leadSteps - passes until every rank can be armed
	 * @param isFirst - whether no earlier planner can have held the group in this epoch
	 * @returns the step; undefined while no hold may be ordered
	 */
	findNextStep(reports: readonly RankReport[], leadSteps: number, isFirst: boolean): number | undefined {
		const firstStep = isFirst ? 0 : this.firstStep;
		const step = getStep(reports);
		const next = Math.max(step + leadSteps, 1 + Math.max(...this.holds.keys()));
		const isAllowed = firstStep !== undefined && step >= firstStep && next <= step + maximumLeadSteps;
		return isAllowed ? next : undefined;
	}

	/**
	 * Forgets all holds, which do not survive the epoch. Once all ranks have reported to this planner, no earlier one can order anything in a
	 * new epoch.
	 */
	startEpoch(): void {
		this.holds.clear();
		this.firstStep = this.firstStep === undefined ? undefined : 0;
	}
}
