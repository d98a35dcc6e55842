import {err, ok, type Result} from 'neverthrow';
import {type MessageOf} from '../link/message-of.js';
import {type Lender} from './lender.js';
import {type LimitDemand} from './limit-demand.js';
import {LimitRefusal} from './limit-refusal.js';
import {type Loan} from './loan.js';
import {TokenBucket} from './token-bucket.js';

type ControllerOptions = {
	readonly id: string;
	readonly lender: Lender;
	readonly clock: () => number;
	/** The entry that lends for a limit. */
	readonly findHome: (name: string) => string;
	/** Sends a wish to another entry; false when it cannot be reached now. */
	readonly ask: (home: string, message: MessageOf<'borrow'>) => boolean;
	/** Share of all zones that can be reached. */
	readonly getVisibleShare: () => number;
	/** Entries that can be reached, this one included. */
	readonly countEntries: () => number;
};

type Wallet = {amount: number; lentAt: number};
type Permits = {granted: number; running: number; demand: LimitDemand; askedAt: number};

/** Units borrowed at once, as seconds of the rate. */
const chunkSeconds = 0.05;
/** Borrowed units that were not used within this time are void, milliseconds. */
const walletMs = 2000;
/** Longest wait for a lender, milliseconds. */
const answerMs = 100;
const renewMs = 2000;

/** Holds the requests of this entry to limits that span all entries, with units and permits borrowed from the limit's home. */
export class LimitController {
	private readonly wallets = new Map<string, Wallet>();
	private readonly permits = new Map<string, Permits>();
	private readonly fallbacks = new Map<string, TokenBucket>();
	private readonly pending = new Map<number, (loan: Loan | undefined) => void>();
	private nextLoan = 0;

	constructor(private readonly options: ControllerOptions) {}

	/**
	 * Asks all limits of one request; none is charged unless all let it through.
	 *
	 * @returns a function that gives the permits back when the request has ended
	 */
	async acquire(demands: readonly LimitDemand[]): Promise<Result<() => void, LimitRefusal>> {
		const charged: LimitDemand[] = [];
		for (const demand of demands) {
			const retryAfterMs = demand.kind === 'concurrency' ? await this.takePermit(demand) : await this.takeUnits(demand);
			if (retryAfterMs !== undefined) {
				for (const earlier of charged) {
					this.refund(earlier);
				}

				return err(new LimitRefusal(demand.kind, retryAfterMs));
			}

			charged.push(demand);
		}

		return ok(() => {
			for (const demand of charged) {
				this.release(demand);
			}
		});
	}

	/** Gives back units that a request turned out not to need. */
	restore(name: string, amount: number): void {
		const wallet = this.wallets.get(name);
		if (wallet) {
			wallet.amount += amount;
		}
	}

	/** Answers another entry's wish, as the limit's home. */
	lend(wish: MessageOf<'borrow'>, borrower: string, demand: Pick<LimitDemand, 'kind' | 'value'>, now: number): MessageOf<'lend'> {
		const loan = this.lendScaled(wish.bucket, demand, borrower, wish.amount, now);
		return {
			type: 'lend', loan: wish.loan, bucket: wish.bucket, ...loan,
		};
	}

	/** Takes a lender's answer. */
	takeLoan(message: MessageOf<'lend'>): void {
		this.pending.get(message.loan)?.(message);
		this.pending.delete(message.loan);
	}

	/** Renews permits in use, and forgets what is idle. */
	tick(now: number): void {
		this.options.lender.tick(now);
		for (const [name, wallet] of this.wallets) {
			if (now - wallet.lentAt > walletMs) {
				this.wallets.delete(name);
			}
		}

		for (const [name, permits] of this.permits) {
			if (permits.running === 0) {
				this.permits.delete(name);
				void this.borrow(permits.demand, 0);
			} else if (now - permits.askedAt > renewMs) {
				void this.renew(permits);
			}
		}
	}

	private async takeUnits(demand: LimitDemand): Promise<number | undefined> {
		const {name, value, amount} = demand;
		const now = this.options.clock();
		const wallet = this.wallets.get(name) ?? {amount: 0, lentAt: now};
		if (now - wallet.lentAt > walletMs) {
			wallet.amount = 0;
		}

		this.wallets.set(name, wallet);
		if (wallet.amount < amount) {
			const wanted = Math.max(amount - wallet.amount, value * chunkSeconds);
			const loan = await this.borrow(demand, wanted);
			wallet.amount += loan.amount;
			wallet.lentAt = this.options.clock();
			if (wallet.amount < amount) {
				return Math.max(loan.retryAfterMs, 1);
			}
		}

		wallet.amount -= amount;
		return undefined;
	}

	private async takePermit(demand: LimitDemand): Promise<number | undefined> {
		const permits = this.permits.get(demand.name) ?? {
			granted: 0, running: 0, demand, askedAt: 0,
		};
		this.permits.set(demand.name, permits);
		permits.demand = demand;
		if (permits.running >= permits.granted) {
			const loan = await this.borrow(demand, permits.running + 1);
			permits.granted = loan.amount;
			permits.askedAt = this.options.clock();
			if (permits.running >= permits.granted) {
				return Math.max(loan.retryAfterMs, 1);
			}
		}

		permits.running++;
		return undefined;
	}

	private async renew(permits: Permits): Promise<void> {
		permits.askedAt = this.options.clock();
		const loan = await this.borrow(permits.demand, permits.running);
		permits.granted = loan.amount;
	}

	private release(demand: LimitDemand): void {
		const permits = this.permits.get(demand.name);
		if (demand.kind === 'concurrency' && permits) {
			permits.running--;
		}
	}

	private refund(demand: LimitDemand): void {
		if (demand.kind === 'concurrency') {
			this.release(demand);
		} else {
			this.restore(demand.name, demand.amount);
		}
	}

	private async borrow(demand: LimitDemand, amount: number): Promise<Loan> {
		const home = this.options.findHome(demand.name);
		if (home === this.options.id) {
			return this.lendScaled(demand.name, demand, home, amount, this.options.clock());
		}

		const loan = this.nextLoan++;
		const isAsked = this.options.ask(home, {
			type: 'borrow', loan, bucket: demand.name, amount,
		});
		const answer = isAsked ? await this.waitForLoan(loan) : undefined;
		return answer ?? this.lendAlone(demand, amount);
	}

	private async waitForLoan(loan: number): Promise<Loan | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.pending.delete(loan);
				resolve(undefined);
			}, answerMs);
			this.pending.set(loan, answer => {
				clearTimeout(timer);
				resolve(answer);
			});
		});
	}

	/* Without the home, an entry keeps to its own part of what the visible zones may have. */
	private lendAlone(demand: LimitDemand, amount: number): Loan {
		const now = this.options.clock();
		const part = demand.value * this.options.getVisibleShare() / this.options.countEntries();
		if (demand.kind === 'concurrency') {
			const granted = Math.min(amount, Math.max(1, Math.floor(part)));
			return {amount: granted, retryAfterMs: granted < amount ? answerMs : 0};
		}

		const bucket = this.fallbacks.get(demand.name) ?? new TokenBucket(part, Math.max(part, 1), now);
		bucket.rate = part;
		this.fallbacks.set(demand.name, bucket);
		const lent = bucket.take(amount, now);
		return {amount: lent, retryAfterMs: bucket.getWaitMs(amount - lent, now)};
	}

	private lendScaled(name: string, demand: Pick<LimitDemand, 'kind' | 'value'>, borrower: string, amount: number, now: number): Loan {
		const value = demand.value * this.options.getVisibleShare();
		return this.options.lender.lend(name, {kind: demand.kind, value}, borrower, amount, now);
	}
}
