import {mock} from 'node:test';
import {setImmediate as yieldTurn} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PlannerElection} from '../../src/expert-balance/planner-election.js';
import {StoreView} from '../../src/view/store-view.js';
import {unguarded} from '../../src/view/unguarded.js';
import {MemoryStore} from '../../stand-ins/forward/memory-store.js';

type Candidate = {readonly id: string; readonly view: StoreView; readonly election: PlannerElection; term: number | undefined; isFrozen: boolean};

const officeKey = 'office';
const turnMs = 10;
const tickMs = 100;
const waitMs = 12_000;
const longestPauseMs = 2000;

/** Processes that seek one planner's office in a store, by one clock. */
export class OfficeCrowd {
	now = 0;
	readonly store = new MemoryStore(() => this.now);
	readonly candidates: Candidate[] = [];
	/** All terms, in the order in which they began. */
	readonly terms: number[] = [];
	/** Longest time for which nobody was in office, milliseconds. */
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

	/** Draws a number below `count`. */
	draw(count: number): number {
		return Math.floor(this.random() * count);
	}

	/** Who is in office by own account. */
	listInOffice(): Candidate[] {
		return this.candidates.filter(({election}) => election.term !== undefined);
	}

	/** Sets what calls to the store come to, for all. */
	setFault(fault: 'none' | 'down'): void {
		for (const {id} of this.candidates) {
			this.store.setFault(id, fault);
		}
	}

	/** The store goes away and comes back from its copy. */
	async drill(awayMs: number): Promise<void> {
		if (awayMs > 0) {
			this.setFault('down');
			await this.pass(awayMs);
		}

		this.store.restoreCopy();
		this.setFault('none');
	}

	/** Lets time pass. */
	async pass(ms: number): Promise<void> {
		for (const end = this.now + ms; this.now < end;) {
			this.now += turnMs;
			mock.timers.tick(turnMs);
			await yieldTurn();
			if (this.now % tickMs === 0) {
				this.store.expireLeases();
				this.tick();
			}

			this.look();
		}
	}

	/** Ends what runs, and gives real time back. */
	close(): void {
		for (const {view} of this.candidates) {
			view.close();
		}

		mock.timers.reset();
	}

	private tick(): void {
		for (const {view, election, isFrozen} of this.candidates) {
			if (!isFrozen) {
				view.tick(this.now);
				void election.tick(this.now, view.isKnown ? {era: view.asOf.era, holder: view.get(officeKey), stored: view.getStored(officeKey)} : undefined, false);
			}
		}
	}

	private look(): void {
		for (const candidate of this.candidates) {
			const {term} = candidate.election;
			if (term !== undefined && term !== candidate.term) {
				this.terms.push(term);
			}

			candidate.term = term;
		}

		this.vacantMs = this.listInOffice().length > 0 ? 0 : this.vacantMs + turnMs;
		this.longestVacancyMs = Math.max(this.longestVacancyMs, this.vacantMs);
	}

	private open(id: string): Candidate {
		const store = this.store.createClient(id);
		const view = new StoreView({
			feed: store,
			prefix: officeKey,
			guard: unguarded,
			waitMs,
			longestPauseMs,
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
				registry: store, key: officeKey, address: `rank-${id}`, random: this.random, log: String,
			}),
			term: undefined,
			isFrozen: false,
		};
	}
}
