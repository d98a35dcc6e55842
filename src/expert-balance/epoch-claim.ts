import {z} from 'zod';
import {parseJsonItem} from '../key-value/parse-json-item.js';
import {type Registry} from '../key-value/registry.js';
import {type Revision} from '../key-value/revision.js';
import {type StoredValue} from '../key-value/stored-value.js';

type ClaimOptions = {
	readonly registry: Pick<Registry, 'get' | 'commit'>;
	/** Key of the claims on the group's epochs. */
	readonly key: string;
	/** The planner's key, and the revision with which its term began. */
	readonly planner: {readonly key: string; readonly revision: Revision};
	readonly log: (message: string) => void;
};

/** The epochs that planners have claimed, the latest claim last. */
const Claims = z.object({epochs: z.array(z.int())});

/** Time between two attempts to claim an epoch, milliseconds. */
const retryIntervalMs = 300;
/** Claims that are kept: orders of earlier ones have long taken effect. */
const maximumClaims = 32;

/**
 * A planner's claim on the epoch of its group, in the store. It is made before the planner first holds the group in that epoch, and only while
 * no later term has begun, so that later planners know whether an earlier one may have held the group: its orders may take effect at any time,
 * and neither engines nor the ranks' processes tell, as these may have started since.
 */
export class EpochClaim {
	/** Epochs that were claimed before this planner claimed any; undefined until they are known. */
	private earlier: readonly number[] | undefined;
	/** The claims in the store, as this planner has last read or written them; undefined while they must be read. */
	private stored: {readonly epochs: readonly number[]; readonly revision: number} | undefined;
	/** Whether the claims of earlier planners could not be read, so that they may have been for any epoch. */
	private isOdd = false;
	private nextAt = Number.NEGATIVE_INFINITY;
	private isBusy = false;

	constructor(private readonly options: ClaimOptions) {}

	/** Whether this planner may hold the group in an epoch. */
	has(epoch: number): boolean {
		return this.stored?.epochs.includes(epoch) ?? false;
	}

	/** Whether no earlier planner can have held the group in an epoch. A store that was restored may have lost their claims. */
	isFirst(epoch: number): boolean {
		return this.options.planner.revision.era === 0 && !this.isOdd && this.earlier?.includes(epoch) === false;
	}

	/**
	 * Reads the claims of earlier planners, and claims an epoch if that was not done.
	 *
	 * @param epoch - epoch in which the planner is about to hold the group; undefined if it is not
	 * @param now - milliseconds
	 */
	async tick(epoch: number | undefined, now: number): Promise<void> {
		const isDone = this.stored !== undefined && (epoch === undefined || this.has(epoch));
		if (this.isBusy || isDone || now < this.nextAt) {
			return;
		}

		this.isBusy = true;
		try {
			await this.read();
			if (this.stored && epoch !== undefined && !this.has(epoch)) {
				await this.write(epoch, this.stored);
			}
		} finally {
			this.isBusy = false;
			this.nextAt = this.stored ? now : now + retryIntervalMs;
		}
	}

	private async read(): Promise<void> {
		if (this.stored) {
			return;
		}

		const {registry, key, log} = this.options;
		const item = await registry.get(key);
		if (item.isErr()) {
			log(`claims on epochs cannot be read: ${item.error.message}`);
			return;
		}

		const epochs = item.value ? this.parse(item.value) : [];
		this.earlier ??= epochs;
		this.stored = {epochs, revision: item.value?.revision ?? 0};
	}

	private async write(epoch: number, {epochs, revision}: NonNullable<EpochClaim['stored']>): Promise<void> {
		const {registry, key, planner, log} = this.options;
		const claimed = [...epochs, epoch].slice(-maximumClaims);
		const written = await registry.commit({
			conditions: [{key: planner.key, revision: planner.revision.number}, {key, revision}],
			puts: [{key, value: JSON.stringify({epochs: claimed})}],
		});
		if (written.isOk() && written.value !== undefined) {
			this.stored = {epochs: claimed, revision: written.value.number};
			return;
		}

		// It may have been written without an answer, or a later term may have begun.
		this.stored = undefined;
		log(`epoch ${epoch} is not claimed yet: ${written.isErr() ? written.error.message : 'a later term may have begun'}`);
	}

	private parse(item: StoredValue): readonly number[] {
		const claims = parseJsonItem(item, Claims);
		if (claims.isErr()) {
			this.isOdd = true;
			this.options.log(`claims on epochs not accepted: ${claims.error}`);
			return [];
		}

		return claims.value.epochs;
	}
}
