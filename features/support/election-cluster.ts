import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PlannerElection} from '../../src/expert-balance/planner-election.js';
import {StoreView} from '../../src/view/store-view.js';
import {unorderedItems} from '../../src/view/unordered-items.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';

type Candidate = {readonly id: string; readonly view: StoreView; readonly election: PlannerElection; term: number | undefined; isSuspended: boolean};

const plannerKey = 'planner';
const turnMs = 10;
const tickMs = 100;
const waitMs = 12_000;
const longestPauseMs = 2000;

/** Processes that campaign for one planner key in a store, on one simulated clock. */
export class ElectionCluster {
	now = 0;
	readonly store = new MemoryStore(() => this.now);
	readonly candidates: Candidate[] = [];
	/** All terms, in the order in which they started. */
	readonly terms: number[] = [];
	/** Longest time without a planner, milliseconds. */
	longestVacancyMs = 0;
	private readonly random: () => number;
	private vacantMs = 0;

	constructor(count: number, seed: number) {
		const generator = xoroshiro128plus(seed);
		this.random = () => uniformFloat64(generator);
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
		for (let number = 1; number <= count; number++) {
			this.candidates.push(this.open(String(number)));
		}
	}

	/** Returns a random integer below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	/** Processes that take themselves to be the planner. */
	listPlanners(): Candidate[] {
		return this.candidates.filter(({election}) => election.term !== undefined);
	}

	/** Sets the fault of the store for the calls of all processes. */
	setFault(fault: 'none' | 'down'): void {
		for (const {id} of this.candidates) {
			this.store.setFault(id, fault);
		}
	}

	/** Makes the store unavailable for a time and restores it from its copy. */
	async restoreStore(awayMs: number): Promise<void> {
		if (awayMs > 0) {
			this.setFault('down');
			await this.pass(awayMs);
		}

		this.store.restoreCopy();
		this.setFault('none');
	}

	/** Advances the simulated clock. */
	async pass(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += turnMs;
			mock.timers.tick(turnMs);
			await yieldTurn();
			if (this.now % tickMs === 0) {
				this.store.expireLeases();
				this.tick();
			}

			this.recordTerms();
		}
	}

	/** Closes the views and restores the real timers. */
	close(): void {
		for (const {view} of this.candidates) {
			view.close();
		}

		mock.timers.reset();
	}

	private tick(): void {
		for (const {view, election, isSuspended} of this.candidates) {
			if (!isSuspended) {
				view.tick(this.now);
				const holder = view.get(plannerKey);
				const known = {
					era: view.asOf.era, holder, planner: holder?.value, stored: view.getStored(plannerKey),
				};
				void election.tick(this.now, view.isLoaded ? known : undefined, false);
			}
		}
	}

	private recordTerms(): void {
		for (const candidate of this.candidates) {
			const {term} = candidate.election;
			if (term !== undefined && term !== candidate.term) {
				this.terms.push(term);
			}

			candidate.term = term;
		}

		this.vacantMs = this.listPlanners().length > 0 ? 0 : this.vacantMs + turnMs;
		this.longestVacancyMs = Math.max(this.longestVacancyMs, this.vacantMs);
	}

	private open(id: string): Candidate {
		const store = this.store.createClient(id);
		const view = new StoreView({
			feed: store,
			prefix: plannerKey,
			comparator: unorderedItems,
			waitMs,
			maximumBackoffMs: longestPauseMs,
			clock: () => this.now,
			random: this.random,
			delay: async ms => new Promise(resolve => {
				setTimeout(resolve, ms);
			}),
			log: String,
			onChange: String,
		});
		void view.run();
		return {
			id,
			view,
			election: new PlannerElection({
				registry: store, key: plannerKey, address: `rank-${id}`, random: this.random, log: String,
			}),
			term: undefined,
			isSuspended: false,
		};
	}
}
