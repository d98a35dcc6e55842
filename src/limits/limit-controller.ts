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
	readonly findLender: (name: string) => string;
	/** Sends a wish to another entry; false when it cannot be reached now. */
	readonly sendBorrow: (home: string, message: MessageOf<'borrow'>) => boolean;
	/** Share of all zones that can be reached. */
	readonly getReachableShare: () => number;
	/** Entries that can be reached, this one included. */
	readonly countEntries: () => number;
};

type Credit = {amount: number; borrowedAt: number};
type Permits = {granted: number; running: number; demand: LimitDemand; requestedAt: number};

/** Units borrowed at once, as seconds of the rate. */
const borrowSeconds = 0.05;
/** Borrowed units that were not used within this time are void, milliseconds. */
const creditLifetimeMs = 2000;
/** Longest wait for a lender, milliseconds. */
const lenderTimeoutMs = 100;
const permitRenewalMs = 2000;

/** Holds the requests of this entry to limits that span all entries, with units and permits borrowed from the limit's home. */
export class LimitController {
	private readonly credits = new Map<string, Credit>();
	private readonly permits = new Map<string, Permits>();
	private readonly fallbacks = new Map<string, TokenBucket>();
	private readonly pendingLoans = new Map<number, (loan: Loan | undefined) => void>();
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
	returnUnits(name: string, amount: number): void {
		const wallet = this.credits.get(name);
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
	receiveLoan(message: MessageOf<'lend'>): void {
		this.pendingLoans.get(message.loan)?.(message);
		this.pendingLoans.delete(message.loan);
	}

	/** Renews permits in use, and forgets what is idle. */
	tick(now: number): void {
		this.options.lender.tick(now);
		for (const [name, wallet] of this.credits) {
			if (now - wallet.borrowedAt > creditLifetimeMs) {
				this.credits.delete(name);
			}
		}

		for (const [name, permits] of this.permits) {
			if (permits.running === 0) {
				this.permits.delete(name);
				void this.borrow(permits.demand, 0);
			} else if (now - permits.requestedAt > permitRenewalMs) {
				void this.renew(permits);
			}
		}
	}

	private async takeUnits(demand: LimitDemand): Promise<number | undefined> {
		const {name, value, amount} = demand;
		const now = this.options.clock();
		const wallet = this.credits.get(name) ?? {amount: 0, borrowedAt: now};
		if (now - wallet.borrowedAt > creditLifetimeMs) {
			wallet.amount = 0;
		}

		this.credits.set(name, wallet);
		if (wallet.amount < amount) {
			const wanted = Math.max(amount - wallet.amount, value * borrowSeconds);
			const loan = await this.borrow(demand, wanted);
			wallet.amount += loan.amount;
			wallet.borrowedAt = this.options.clock();
			if (wallet.amount < amount) {
				return Math.max(loan.retryAfterMs, 1);
			}
		}

		wallet.amount -= amount;
		return undefined;
	}

	private async takePermit(demand: LimitDemand): Promise<number | undefined> {
		const permits = this.permits.get(demand.name) ?? {
			granted: 0, running: 0, demand, requestedAt: 0,
		};
		this.permits.set(demand.name, permits);
		permits.demand = demand;
		if (permits.running >= permits.granted) {
			const loan = await this.borrow(demand, permits.running + 1);
			permits.granted = loan.amount;
			permits.requestedAt = this.options.clock();
			if (permits.running >= permits.granted) {
				return Math.max(loan.retryAfterMs, 1);
			}
		}

		permits.running++;
		return undefined;
	}

	private async renew(permits: Permits): Promise<void> {
		permits.requestedAt = this.options.clock();
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
			this.returnUnits(demand.name, demand.amount);
		}
	}

	private async borrow(demand: LimitDemand, amount: number): Promise<Loan> {
		const home = this.options.findLender(demand.name);
		if (home === this.options.id) {
			return this.lendScaled(demand.name, demand, home, amount, this.options.clock());
		}

		const loan = this.nextLoan++;
		const isAsked = this.options.sendBorrow(home, {
			type: 'borrow', loan, bucket: demand.name, amount,
		});
		const answer = isAsked ? await this.waitForLoan(loan) : undefined;
		return answer ?? this.lendLocally(demand, amount);
	}

	private async waitForLoan(loan: number): Promise<Loan | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.pendingLoans.delete(loan);
				resolve(undefined);
			}, lenderTimeoutMs);
			this.pendingLoans.set(loan, answer => {
				clearTimeout(timer);
				resolve(answer);
			});
		});
	}

	/* Without the home, an entry keeps to its own part of what the visible zones may have. */
	private lendLocally(demand: LimitDemand, amount: number): Loan {
		const now = this.options.clock();
		const part = demand.value * this.options.getReachableShare() / this.options.countEntries();
		if (demand.kind === 'concurrency') {
			const granted = Math.min(amount, Math.max(1, Math.floor(part)));
			return {amount: granted, retryAfterMs: granted < amount ? lenderTimeoutMs : 0};
		}

		const bucket = this.fallbacks.get(demand.name) ?? new TokenBucket(part, Math.max(part, 1), now);
		bucket.rate = part;
		this.fallbacks.set(demand.name, bucket);
		const lent = bucket.take(amount, now);
		return {amount: lent, retryAfterMs: bucket.getWaitMs(amount - lent, now)};
	}

	private lendScaled(name: string, demand: Pick<LimitDemand, 'kind' | 'value'>, borrower: string, amount: number, now: number): Loan {
		const value = demand.value * this.options.getReachableShare();
		return this.options.lender.lend(name, {kind: demand.kind, value}, borrower, amount, now);
	}
}
