import {maximumLeadSteps} from './maximum-lead-steps.js';

/**
 * Time from the newest report to the switch, milliseconds, and its bounds in passes. The hold must be noticed and every
 * rank armed before the group reaches the step, or all streams pause. That takes 60 to 150 ms.
 */
const leadMs = 350;
const minimumLeadSteps = 3;
/** Added to the lead if every order stays unanswered, milliseconds, in proportion if some do: orders are retried until they are taken. */
const lossLeadMs = 2000;
/** Round trips until every rank is armed: the hold is ordered and reported, then every rank reports again and is armed. */
const roundTripsPerSwitch = 2;
/** Time for these round trips that the lead already includes, milliseconds; arming takes up to 100 of the lead besides. */
const includedRoundTripMs = 250;
/**
 * The planner handles the reports and outcomes of all ranks one after the other, so that arming takes longer the larger the group is. The
 * lead is this many times what arming took lately, with what it took most weighing most: one late pass is felt by every stream.
 */
const armingMargin = 1.3;
const newestArmingWeight = 0.1;
/** Round trips that arming is expected to take before it has been measured, and the longest time that is allowed for it, milliseconds. */
const roundTripsPerArming = 4;
const maximumArmingMs = 1500;
/** Weight of the newest order in the moving average of unanswered orders. */
const newestOrderWeight = 0.04;
/** Initial estimate of the time of a pass, milliseconds, and the weight of the newest in its moving average. */
const initialStepMs = 40;
const newestStepWeight = 0.2;

/** Initial estimate of the time to load one copy, milliseconds, and the weight of the newest in its moving average. */
const initialCopyMs = 400;
const newestCopyWeight = 0.3;
/** Time of a switch apart from the loading of copies and the lead, for reports and orders, milliseconds. */
const orderOverheadMs = 100;

/** Estimates how long the parts of a switch take and how many passes ahead to schedule it, from the time of passes and the share of unanswered orders. */
export class SwitchTiming {
	private stepMs = initialStepMs;
	private copyMs = initialCopyMs;
	private unansweredShare = 0;
	/** Time from the hold until every rank is armed, milliseconds; undefined before the first switch. */
	private armingMs: number | undefined;

	/** Records that `steps` passes were started within `ms` milliseconds. */
	recordPasses(steps: number, ms: number): void {
		this.stepMs += ((ms / steps) - this.stepMs) * newestStepWeight;
	}

	/** Records whether an order was answered. */
	recordOrder(isAnswered: boolean): void {
		this.unansweredShare += ((isAnswered ? 0 : 1) - this.unansweredShare) * newestOrderWeight;
	}

	/** Records that every rank was armed this long after the hold was ordered, milliseconds. */
	recordArming(ms: number): void {
		const known = this.armingMs ?? 0;
		this.armingMs = Math.min(maximumArmingMs, Math.max(ms, known + ((ms - known) * newestArmingWeight)));
	}

	/** Records that the rank with the most copies loaded them within `ms` milliseconds. */
	recordCopies(copies: number, ms: number): void {
		if (copies > 0) {
			this.copyMs += ((ms / copies) - this.copyMs) * newestCopyWeight;
		}
	}

	/** Returns the time that a rank takes to load one copy, milliseconds. */
	getCopyMs(): number {
		return this.copyMs;
	}

	/** Returns the time of a switch apart from the loading of copies, milliseconds. */
	getSwitchMs(): number {
		return orderOverheadMs + this.getLeadMs();
	}

	/**
	 * Returns the number of passes between the newest report and the switch.
	 *
	 * @param roundTripMs - longest round-trip time of an order to a rank and the report after it, milliseconds
	 */
	getLeadSteps(roundTripMs: number): number {
		const extraRoundTripMs = Math.max(0, (roundTripsPerSwitch * roundTripMs) - includedRoundTripMs);
		const armingMs = this.armingMs ?? Math.min(maximumArmingMs, roundTripsPerArming * roundTripMs);
		const neededMs = Math.max(this.getLeadMs() + extraRoundTripMs, armingMargin * armingMs);
		return Math.min(maximumLeadSteps, Math.max(minimumLeadSteps, Math.ceil(neededMs / this.stepMs)));
	}

	private getLeadMs(): number {
		return leadMs + (lossLeadMs * this.unansweredShare);
	}
}
