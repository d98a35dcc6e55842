import {MemoryAccount} from './memory-account.js';
import {type MemoryHolder} from './memory-holder.js';

/** Bytes of an account that large ones cannot crowd out. */
const smallBytes = 64 * 1024;
/** Share of the budget that accounts may hold beyond `smallBytes` each. */
const largeShare = 0.75;
/** Share of the budget that is freed beyond what is needed, so that not every growth has to search for holders. */
const marginShare = 1 / 16;

const countLarge = (bytes: number): number => Math.max(0, bytes - smallBytes);

/**
 * Limits the memory that callers make a process hold, whatever it is held for.
 *
 * When it is short, the holders that have kept the most bytes for the longest time (bytes times age) release theirs, down to the one
 * that asks for more, which is refused then. So a new request of ordinary size outlasts bodies that have stopped arriving, and large
 * accounts leave a part of the budget to small ones.
 */
export class MemoryBudget {
	private readonly accounts = new Set<MemoryAccount>();
	private total = 0;
	private large = 0;

	/** @param maximumBytes - limit on what all accounts hold together */
	constructor(private readonly maximumBytes: number) {}

	/** Bytes held in all accounts. */
	get heldBytes(): number {
		return this.total;
	}

	/** Most that one account can ever hold, bytes. */
	get maximumAccountBytes(): number {
		return Math.floor(largeShare * this.maximumBytes);
	}

	/** Opens an account that holds nothing yet. */
	open(holder: MemoryHolder): MemoryAccount {
		const account = new MemoryAccount(holder, (...growth) => this.reserve(...growth), closed => {
			this.accounts.delete(closed);
		});
		this.accounts.add(account);
		return account;
	}

	private reserve(account: MemoryAccount, bytes: number, now: number): boolean {
		if (bytes > account.bytes && this.isShort(account, bytes, 0)) {
			this.makeRoom(account, bytes, now);
			if (this.isShort(account, bytes, 0)) {
				return false;
			}
		}

		this.total += bytes - account.bytes;
		this.large += countLarge(bytes) - countLarge(account.bytes);
		return true;
	}

	private makeRoom(account: MemoryAccount, bytes: number, now: number): void {
		const margin = this.maximumBytes * marginShare;
		const holders = [...this.accounts].map(candidate => {
			const releasable = candidate.holder.getReleasable(now);
			return {candidate, bytes: releasable.bytes, cost: releasable.bytes * Math.max(1, now - releasable.since)};
		}).filter(({cost}) => cost > 0).toSorted((one, other) => other.cost - one.cost);
		for (const holder of holders) {
			if (holder.candidate === account || !this.isShort(account, bytes, margin)) {
				return;
			}

			// Small holders do not make room for a large one.
			if (holder.bytes > smallBytes || this.isTotalShort(account, bytes, margin)) {
				holder.candidate.holder.release(now);
			}
		}
	}

	private isShort(account: MemoryAccount, bytes: number, margin: number): boolean {
		const largeAfter = this.large + countLarge(bytes) - countLarge(account.bytes);
		const isLargeShort = bytes > smallBytes && largeAfter + margin > this.maximumBytes * largeShare;
		return isLargeShort || this.isTotalShort(account, bytes, margin);
	}

	private isTotalShort(account: MemoryAccount, bytes: number, margin: number): boolean {
		return this.total + bytes - account.bytes + margin > this.maximumBytes;
	}
}
