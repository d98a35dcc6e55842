import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Lender} from '../../src/limits/lender.js';
import {LimitController} from '../../src/limits/limit-controller.js';
import {type LimitDemand} from '../../src/limits/limit-demand.js';

type Options = {
	/** Limit of the whole system, requests per second. */
	readonly limit: number;
	/** Requests per second offered to all entries together. */
	readonly offered: number;
	readonly seconds: number;
	/** Start of the partition between the two zones, and time until the entries detect it, milliseconds. */
	readonly cutFromMs: number;
	readonly noticedAfterMs: number;
};

const entries = 8;
const stepMs = 1;

/**
 * Offers seeded requests to eight entries in two zones that share a limit, in simulated time. Entry 0 lends out the limit;
 * once the second zone has detected the partition, its entries borrow from entry 4.
 *
 * @returns the number of admitted requests in each second
 */
export async function simulateLimits(options: Options): Promise<number[]> {
	const {limit, offered, seconds, cutFromMs, noticedAfterMs} = options;
	const generator = xoroshiro128plus(9);
	const clock = {now: 0};
	const isCut = (): boolean => clock.now >= cutFromMs;
	const isNoticed = (): boolean => clock.now >= cutFromMs + noticedAfterMs;
	const getZone = (entry: number): number => entry < entries / 2 ? 0 : 1;
	const demand: LimitDemand = {
		name: 'requestsPerSecond/service/organisation', kind: 'requestsPerSecond', value: limit, amount: 1,
	};
	const controllers: LimitController[] = Array.from({length: entries}, (_, entry) => new LimitController({
		id: String(entry),
		lender: new Lender(),
		clock: () => clock.now,
		findLender: () => isNoticed() && getZone(entry) === 1 ? '4' : '0',
		sendBorrow(home, message) {
			if (isCut() && getZone(Number(home)) !== getZone(entry)) {
				return false;
			}

			const loan = controllers[Number(home)].lend(message, String(entry), demand, clock.now);
			queueMicrotask(() => {
				controllers[entry].receiveLoan(loan);
			});
			return true;
		},
		getReachableShare: () => isNoticed() ? 0.5 : 1,
		countEntries: () => isNoticed() ? entries / 2 : entries,
	}));
	const admitted: number[] = Array.from({length: seconds}, () => 0);
	for (; clock.now < seconds * 1000; clock.now += stepMs) {
		if (uniformFloat64(generator) < offered * stepMs / 1000) {
			const entry = Math.floor(uniformFloat64(generator) * entries);
			const held = await controllers[entry].acquire([demand]);
			if (held.isOk()) {
				admitted[Math.floor(clock.now / 1000)]++;
			}
		}
	}

	return admitted;
}
