import {type LoadScenario} from './load-scenario.js';
import {type SimulatedStream} from './simulated-stream.js';

/** A group of ranks that takes every pass together, as long as its slowest rank takes. Pure: time is what it is told. */
export class LockStepGroup {
	private readonly ranks: SimulatedStream[][];

	constructor(private readonly scenario: LoadScenario) {
		this.ranks = Array.from({length: scenario.targets}, () => []);
	}

	/** Streams under way and waiting. */
	get inFlight(): number {
		let streams = 0;
		for (const rank of this.ranks) {
			streams += rank.length;
		}

		return streams;
	}

	/** Hands a stream to the rank with the fewest. */
	assign(stream: SimulatedStream): void {
		const least = Math.min(...this.ranks.map(rank => rank.length));
		this.ranks.find(rank => rank.length === least)!.push(stream);
	}

	/**
	 * Length of the next pass if it begins now, milliseconds: the slowest rank's own part, and for the part that goes to
	 * experts, wherever the requests are, that of the rank whose experts are chosen most.
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

	/** Ends a pass: every running stream has one more event; gives those that are whole. */
	endPass(now: number): SimulatedStream[] {
		const whole: SimulatedStream[] = [];
		for (const [index, rank] of this.ranks.entries()) {
			for (const stream of rank.slice(0, this.scenario.slots)) {
				stream.isPrefilled = true;
				stream.eventTimes.push(now);
				if (stream.eventTimes.length >= stream.eventCount) {
					whole.push(stream);
				}
			}

			this.ranks[index] = rank.filter(({eventTimes, eventCount}) => eventTimes.length < eventCount);
		}

		return whole;
	}

	private getRankDuration(rank: readonly SimulatedStream[]): number {
		const {pace: {stepMs, requestMs, stepsPerEvent}, slots, tokensPerMs} = this.scenario;
		const running = rank.slice(0, slots);
		let unread = 0;
		for (const {isPrefilled, promptTokens} of running) {
			unread += isPrefilled ? 0 : promptTokens;
		}

		return (stepsPerEvent * (stepMs + (requestMs * running.length))) + (unread / tokensPerMs);
	}

	private getSkew(now: number): number {
		const {shift, skew} = this.scenario;
		return shift && now % shift.everyMs < shift.forMs ? shift.skew : skew;
	}
}
