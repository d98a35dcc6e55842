import {type LoadScenario} from './load-scenario.js';
import {type ModelStream} from './model-stream.js';

/** A group of ranks that takes every pass together, as long as its slowest rank takes. Pure: time is what it is told. */
export class LockStepGroup {
	private readonly ranks: ModelStream[][];

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
	take(stream: ModelStream): void {
		const least = Math.min(...this.ranks.map(rank => rank.length));
		this.ranks.find(rank => rank.length === least)!.push(stream);
	}

	/** Length of the next pass if it begins now, milliseconds. */
	measurePass(now: number): number {
		const {pace: {stepMs, requestMs, stepsPerEvent}, slots, tokensPerMs} = this.scenario;
		let slowestMs = 0;
		for (const rank of this.ranks) {
			const running = rank.slice(0, slots);
			const unread = running.filter(({isRead}) => !isRead).reduce((sum, {promptTokens}) => sum + promptTokens, 0);
			slowestMs = Math.max(slowestMs, (stepsPerEvent * (stepMs + (requestMs * running.length))) + (unread / tokensPerMs));
		}

		return slowestMs * this.getSkew(now);
	}

	/** Ends a pass: every running stream has one more event; gives those that are whole. */
	endPass(now: number): ModelStream[] {
		const whole: ModelStream[] = [];
		for (const [index, rank] of this.ranks.entries()) {
			for (const stream of rank.slice(0, this.scenario.slots)) {
				stream.isRead = true;
				stream.eventTimes.push(now);
				if (stream.eventTimes.length >= stream.events) {
					whole.push(stream);
				}
			}

			this.ranks[index] = rank.filter(({eventTimes, events}) => eventTimes.length < events);
		}

		return whole;
	}

	private getSkew(now: number): number {
		const {shift, skew} = this.scenario;
		return shift && now % shift.everyMs < shift.forMs ? shift.skew : skew;
	}
}
