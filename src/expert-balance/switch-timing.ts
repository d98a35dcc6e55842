/**
 * Time from the newest report to the switch, milliseconds, and its bounds in passes: the hold must be seen and every
 * rank armed before the group gets there, or all streams pause. That takes 60 to 150 ms.
 */
const leadMs = 350;
const minimumLeadSteps = 3;
const maximumLeadSteps = 60;
/** What is added to the lead if every order stays unanswered, milliseconds: each is given again until it is taken. */
const lossLeadMs = 2000;
/** Ways there and back until every rank is armed: the hold is ordered and seen, every rank is heard once more, and armed. */
const roundTripsPerSwitch = 2;
/** What the lead holds for these ways already, milliseconds: arming takes up to 100 besides. */
const includedRoundTripMs = 250;
/** Weight of the newest order in the share that stays unanswered. */
const newestOrderWeight = 0.04;
/** Time of a pass before any was seen, milliseconds, and the weight of the newest. */
const initialStepMs = 40;
const newestStepWeight = 0.2;

/** Time that a rank takes to load one copy, milliseconds, before any was seen; and the weight of the newest. */
const initialCopyMs = 400;
const newestCopyWeight = 0.3;
/** Time of a switch beside the loading of copies and its lead: reports and orders, milliseconds. */
const orderOverheadMs = 100;

/** How long the parts of a switch take, and how far ahead it is set: from the time that passes take and the share of orders that stay unanswered. */
export class SwitchTiming {
	private stepMs = initialStepMs;
	private copyMs = initialCopyMs;
	private unansweredShare = 0;

	/** Notes that `steps` passes began within `ms` milliseconds. */
	recordPasses(steps: number, ms: number): void {
		this.stepMs += ((ms / steps) - this.stepMs) * newestStepWeight;
	}

	/** Notes whether an order was answered. */
	recordOrder(isAnswered: boolean): void {
		this.unansweredShare += ((isAnswered ? 0 : 1) - this.unansweredShare) * newestOrderWeight;
	}

	/** Notes that the rank with the most copies to load had loaded them within `ms` milliseconds. */
	recordCopies(copies: number, ms: number): void {
		if (copies > 0) {
			this.copyMs += ((ms / copies) - this.copyMs) * newestCopyWeight;
		}
	}

	/** Time that a rank takes to load one copy, milliseconds. */
	getCopyMs(): number {
		return this.copyMs;
	}

	/** Time of a switch beside the loading of copies, milliseconds. */
	getSwitchMs(): number {
		return orderOverheadMs + this.getLeadMs();
	}

	/**
	 * Passes between the newest report and the switch.
	 *
	 * @param roundTripMs - longest time that an order and the report after it take to a rank and back, milliseconds
	 */
	getLeadSteps(roundTripMs: number): number {
		const extraRoundTripMs = Math.max(0, (roundTripsPerSwitch * roundTripMs) - includedRoundTripMs);
		return Math.min(maximumLeadSteps, Math.max(minimumLeadSteps, Math.ceil((this.getLeadMs() + extraRoundTripMs) / this.stepMs)));
	}

	private getLeadMs(): number {
		return leadMs + (lossLeadMs * this.unansweredShare);
	}
}
