import {CrashRecord} from '../balance/crash-record.js';
import {type CrashSuspects} from '../balance/crash-suspects.js';
import {type Registry} from '../key-value/registry.js';
import {type StoredValue} from '../key-value/stored-value.js';

type RecordsOptions = {
	readonly suspects: CrashSuspects;
	readonly registry: Registry;
	readonly log: (message: string) => void;
};

/** Lifetime of a record, milliseconds: the longest lease of the platform. A request that still crashes targets then is found again. */
const recordLifeMs = 600_000;
/** Interval between two writes, and after a failed one, milliseconds, so that many crashes do not flood the store. */
const writeIntervalMs = 1000;

/** Prefix of the keys of these records in the store. */
const recordsPrefix = 'wardswitch/crashes/';

/** Keeps the requests that crash targets in the store, so that they are refused even after all entries have started again. */
export class CrashRecords {
	/** Revisions of the records read last, by key. */
	private readonly readRevisions = new Map<string, number>();
	private nextAt = 0;
	private isBusy = false;

	constructor(private readonly options: RecordsOptions) {}

	/** Reads the records that have changed in the store; `now` in milliseconds. */
	read(view: {list(prefix: string): readonly StoredValue[]}, now: number): void {
		const records = view.list(recordsPrefix);
		for (const item of records.filter(({key, revision}) => this.readRevisions.get(key) !== revision)) {
			this.readOne(item, now);
		}

		this.readRevisions.clear();
		for (const {key, revision} of records) {
			this.readRevisions.set(key, revision);
		}
	}

	/** Writes a record that has changed, if one is due; `now` in milliseconds. */
	async tick(now: number): Promise<void> {
		const {suspects, log} = this.options;
		const fingerprint = now >= this.nextAt && !this.isBusy ? suspects.takeUnsaved() : undefined;
		if (fingerprint === undefined) {
			return;
		}

		this.isBusy = true;
		this.nextAt = now + writeIntervalMs;
		const problem = await this.write(fingerprint);
		this.isBusy = false;
		if (problem !== undefined) {
			suspects.noteUnsaved(fingerprint);
			log(`record of request ${fingerprint}, which crashes targets, not written, will be retried: ${problem}`);
		}
	}

	private async write(fingerprint: string): Promise<string | undefined> {
		const {suspects, registry} = this.options;
		const key = `${recordsPrefix}${fingerprint}`;
		const record = suspects.getRecord(fingerprint);
		if (!record) {
			const removed = await registry.commit({conditions: [], puts: [], deletes: [key]});
			return removed.isErr() ? removed.error.message : undefined;
		}

		const lease = await registry.grantLeaseFor(recordLifeMs);
		if (lease.isErr()) {
			return lease.error.message;
		}

		const written = await registry.commit({conditions: [], puts: [{key, value: JSON.stringify(record), lease: lease.value}]});
		return written.isErr() ? written.error.message : undefined;
	}

	private readOne({key, value}: StoredValue, now: number): void {
		const fingerprint = key.slice(recordsPrefix.length);
		try {
			const {incarnations, met} = CrashRecord.parse(JSON.parse(value));
			this.options.suspects.merge({suspects: {[fingerprint]: incarnations}, met: {[fingerprint]: met}}, now);
		} catch (error) {
			this.options.log(`record ${key} not accepted: ${(error as Error).message}`);
		}
	}
}
