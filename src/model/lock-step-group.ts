import {type LoadScenario} from './load-scenario.js';
import {type SimulatedStream} from './simulated-stream.js';

/** A simulated group whose ranks run every forward pass in lock step, so that the slowest rank sets its duration. Has no clock of its own. */
export class LockStepGroup {
	private readonly ranks: SimulatedStream[][];

	constructor(private readonly scenario: LoadScenario) {
		this.ranks = Array.from({length: scenario.targets}, () => []);
	}

	/** Number of streams that run or wait at a rank. */
	get inFlight(): number {
		let streams = 0;
		for (const rank of this.ranks) {
			streams += rank.length;
		}

		return streams;
	}

	/** Assigns a stream to the rank with the fewest streams. */
	assign(stream: SimulatedStream): void {
		const least = Math.min(...this.ranks.map(rank => rank.length));
		this.ranks.find(rank => rank.length === least)!.push(stream);
	}

	/**
	 * Returns the duration of a pass that begins now, milliseconds. The share outside the experts depends on the rank with
	 * the most work of its own; the expert share depends on the skew, since tokens go to experts of any rank.
	 */
	getPassDuration(now: number): number {
		const {targets, expertShare} = this.scenario;
		let slowestMs = 0;
		let sumMs = 0;
		for (const rank of this.ranks) {
			const rankMs = this.getRankDuration(rank);
			slowestMs = Math.max(slowestMs, rankMs);
			sumMs += rankMs;
		}

		return ((1 - expertShare) * slowestMs) + (expertShare * this.getSkew(now) * sumMs / targets);
	}

	/** Ends a pass: adds an event to every running stream, then removes and returns the completed streams. */
	endPass(now: number): SimulatedStream[] {
		const completed: SimulatedStream[] = [];
		for (const [index, rank] of this.ranks.entries()) {
			for (const stream of rank.slice(0, this.scenario.slots)) {
				stream.isPrefilled = true;
				stream.eventTimes.push(now);
				if (stream.eventTimes.length >= stream.eventCount) {
					completed.push(stream);
				}
			}

			this.ranks[index] = rank.filter(({eventTimes, eventCount}) => eventTimes.length < eventCount);
		}

		return completed;
	}

	private getRankDuration(rank: readonly SimulatedStream[]): number {
		const {pace: {stepMs, requestMs, stepsPerEvent}, slots, tokensPerMs} = this.scenario;
		const running = rank.slice(0, slots);
		let promptTokensLeft = 0;
		for (const {isPrefilled, promptTokens} of running) {
			promptTokensLeft += isPrefilled ? 0 : promptTokens;
		}

		return (stepsPerEvent * (stepMs + (requestMs * running.length))) + (promptTokensLeft / tokensPerMs);
	}

	private getSkew(now: number): number {
		const {shift, skew} = this.scenario;
		return shift && now % shift.everyMs < shift.forMs ? shift.skew : skew;
	}
}
