import {type accuseParts} from './accuse-parts.js';
import {evictOldest} from './evict-oldest.js';
import {PartBlock} from './part-block.js';
import {type RequestContrast} from './request-contrast.js';

type Question = {
	readonly service: string;
	readonly parts: readonly string[];
	/** Whether this entry, rather than a peer, may send a request with a part whose block is over. */
	readonly mayProbe: (part: string) => boolean;
};

type BlocksOptions = {
	/** How requests with a part fare, compared with others. */
	readonly contrast: RequestContrast;
	/** Called with a part that is refused, or refused anew since it explains other crashes. */
	readonly onBlock: (part: string) => void;
	/** Called with each crash that a part explains, once its block is confirmed. */
	readonly onConfirm: (crash: string) => void;
	/** Called with a part that is no longer refused since nobody asks for it, or since too many are. */
	readonly onForget: (part: string) => void;
	readonly log: (message: string) => void;
};

/** A refused part that nobody asks for any more is forgotten after this time, milliseconds. */
const retentionMs = 86_400_000;
/** Maximum number of blocks, and of parts that others have confirmed; beyond it the oldest are evicted. */
const maximumBlocks = 256;

/** The parts of prompts that are refused. */
export class PartBlocks {
	private readonly blocks = new Map<string, PartBlock>();
	/** Parts whose block another entry has confirmed, as it or the store says. */
	private readonly recorded = new Set<string>();

	constructor(private readonly options: BlocksOptions) {}

	/** Number of parts that are refused. */
	get size(): number {
		return this.blocks.size;
	}

	/** Whether a part is refused. */
	has(part: string): boolean {
		return this.blocks.has(part);
	}

	/** Whether a part is refused, and requests without it fare better. */
	isConfirmed(part: string): boolean {
		return this.blocks.get(part)?.isConfirmed ?? false;
	}

	/** Whether a part is refused here, or its block was confirmed by another entry. */
	isAccused(part: string): boolean {
		return this.blocks.has(part) || this.recorded.has(part);
	}

	/** Whether a crash is explained by a part that is refused. */
	isExplained(crash: string): boolean {
		return [...this.blocks.values()].some(({crashes}) => crashes.has(crash));
	}

	/** Lists the parts that are refused. */
	list(): string[] {
		return [...this.blocks.keys()];
	}

	/** Lists the parts whose block was confirmed at most `maximumAgeMs` ago; `now` in milliseconds. */
	listConfirmed(maximumAgeMs: number, now: number): string[] {
		return [...this.blocks].filter(([, {confirmedAt}]) => confirmedAt !== undefined && now - confirmedAt <= maximumAgeMs).map(([part]) => part);
	}

	/** Lists the crashes that these parts explain; a crash that several of them explain is listed for each. */
	listCrashes(parts: readonly string[]): string[] {
		return parts.flatMap(part => [...this.blocks.get(part)?.crashes ?? []]);
	}

	/** Gets for how long requests with a part are refused, milliseconds; 0 when one may be sent. */
	getWaitMs(part: string, {service, parts, mayProbe}: Question, now: number): number {
		const block = this.blocks.get(part);
		if (!block) {
			return 0;
		}

		block.seenAt = now;
		// A request with only one of several parts that explain the same crashes shows which of them is the cause.
		if (!block.isAmbiguousFor(parts)) {
			return 0;
		}

		if (!block.isConfirmed && block.hasContrast(service)) {
			this.confirm(block, now);
		}

		return block.getWaitMs(service, this.options.contrast, mayProbe(part), now);
	}

	/** Refuses the parts that explain the crashes, and no others; `now` in milliseconds. */
	accuse(accusations: ReturnType<typeof accuseParts>, now: number): void {
		const accused = new Set(accusations.flatMap(({parts}) => parts));
		for (const part of this.blocks.keys()) {
			if (!accused.has(part)) {
				this.blocks.delete(part);
				this.options.log(`part ${part} is no longer refused: another part explains the crashes`);
			}
		}

		for (const {parts, crashes, events} of accusations) {
			for (const part of parts) {
				this.block(part, {crashes, events, rivals: parts.filter(other => other !== part)}, now);
			}
		}
	}

	/** Notes that another entry has confirmed the block of a part, as it or the store says; `now` in milliseconds. */
	noteConfirmed(part: string, now: number): void {
		this.recorded.add(part);
		evictOldest(this.recorded, maximumBlocks);
		const block = this.blocks.get(part);
		if (block && !block.isConfirmed) {
			this.confirm(block, now);
		}
	}

	/** Ends the block of a part that is sound. */
	clear(part: string): void {
		this.recorded.delete(part);
		if (this.blocks.delete(part)) {
			this.options.log(`part ${part} is no longer refused: a target has answered a request with it`);
		}
	}

	/** Forgets the parts that nobody asks for any more; `now` in milliseconds. */
	tick(now: number): void {
		for (const [part, {seenAt}] of this.blocks) {
			if (now - seenAt > retentionMs) {
				this.forget(part);
			}
		}
	}

	private block(part: string, accusation: ConstructorParameters<typeof PartBlock>[1], now: number): void {
		const former = this.blocks.get(part);
		if (former?.crashes.size === accusation.crashes.size) {
			former.rivals = accusation.rivals;
			return;
		}

		const {contrast, onBlock, log} = this.options;
		const block = new PartBlock(part, accusation, contrast.copy(), {former, isConfirmed: this.recorded.has(part)}, now);
		this.blocks.set(part, block);
		onBlock(part);
		log(block.describe(now));
		if (this.blocks.size > maximumBlocks) {
			this.forget([...this.blocks.keys()][0]);
		}
	}

	private confirm(block: PartBlock, now: number): void {
		block.confirm(now);
		for (const crash of block.crashes) {
			this.options.onConfirm(crash);
		}

		this.options.log(block.describe(now));
	}

	private forget(part: string): void {
		this.blocks.delete(part);
		this.options.onForget(part);
	}
}
