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
	/** Id of the entry that lends units of a limit. */
	readonly findLender: (name: string) => string;
	/** Sends a request to another entry; false when it cannot be reached now. */
	readonly sendBorrow: (lender: string, message: MessageOf<'borrow'>) => boolean;
	/** Share of all availability zones that are reachable, 0 to 1. */
	readonly getReachableShare: () => number;
	/** Number of reachable entries, including this one. */
	readonly countEntries: () => number;
};

/** Borrowed units that have not been used yet, and when they were borrowed (milliseconds). */
type Credit = {amount: number; borrowedAt: number};
/** Concurrency permits held for a limit, those in use, and when they were last requested (milliseconds). */
type Permits = {granted: number; running: number; demand: LimitDemand; requestedAt: number};

/** Minimum number of units to borrow, in seconds of the rate. */
const borrowSeconds = 0.05;
/** Time after which unused borrowed units expire, milliseconds. */
const creditLifetimeMs = 2000;
/** Timeout for the lender's answer, milliseconds. */
const lenderTimeoutMs = 100;
/** Interval between renewals of permits in use, milliseconds. */
const permitRenewalMs = 2000;

/** Enforces limits that apply to all entries together, with units and permits borrowed from the lender of each limit. */
export class LimitController {
	private readonly credits = new Map<string, Credit>();
	private readonly permits = new Map<string, Permits>();
	private readonly fallbacks = new Map<string, TokenBucket>();
	private readonly pendingLoans = new Map<number, (loan: Loan | undefined) => void>();
	private nextLoan = 0;

	constructor(private readonly options: ControllerOptions) {}

	/**
	 * Acquires the units and permits for all limits of one request; if one limit refuses, nothing is charged.
	 *
	 * @returns a function that releases the permits when the request has ended
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

	/** Returns units that a request did not use. */
	returnUnits(name: string, amount: number): void {
		const credit = this.credits.get(name);
		if (credit) {
			credit.amount += amount;
		}
	}

	/** Answers a request of another entry, as the lender of the limit. */
	lend(request: MessageOf<'borrow'>, borrower: string, demand: Pick<LimitDemand, 'kind' | 'value'>, now: number): MessageOf<'lend'> {
		const loan = this.lendScaled(request.bucket, demand, borrower, request.amount, now);
		return {
			type: 'lend', loan: request.loan, bucket: request.bucket, ...loan,
		};
	}

	/** Handles a lender's answer. */
	receiveLoan(message: MessageOf<'lend'>): void {
		this.pendingLoans.get(message.loan)?.(message);
		this.pendingLoans.delete(message.loan);
	}

	/** Renews permits in use, and drops unused credits and permits. */
	tick(now: number): void {
		this.options.lender.tick(now);
		for (const [name, credit] of this.credits) {
			if (now - credit.borrowedAt > creditLifetimeMs) {
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
		const credit = this.credits.get(name) ?? {amount: 0, borrowedAt: now};
		if (now - credit.borrowedAt > creditLifetimeMs) {
			credit.amount = 0;
		}

		this.credits.set(name, credit);
		if (credit.amount < amount) {
			const wanted = Math.max(amount - credit.amount, value * borrowSeconds);
			const loan = await this.borrow(demand, wanted);
			credit.amount += loan.amount;
			credit.borrowedAt = this.options.clock();
			if (credit.amount < amount) {
				return Math.max(loan.retryAfterMs, 1);
			}
		}

		credit.amount -= amount;
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
		const lender = this.options.findLender(demand.name);
		if (lender === this.options.id) {
			return this.lendScaled(demand.name, demand, lender, amount, this.options.clock());
		}

		const loan = this.nextLoan++;
		const isSent = this.options.sendBorrow(lender, {
			type: 'borrow', loan, bucket: demand.name, amount,
		});
		const answer = isSent ? await this.waitForLoan(loan) : undefined;
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

	/* Without the lender's answer, an entry uses an equal part of the limit, scaled to the reachable zones. */
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
