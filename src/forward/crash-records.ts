import {ok, type Result} from 'neverthrow';
import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {type PlatformError} from '../key-value/platform-error.js';
import {type Registry} from '../key-value/registry.js';
import {replaceKey} from '../key-value/replace-key.js';
import {type StoredValue} from '../key-value/stored-value.js';

/** Keeps what is known of the causes of crashes, by fingerprint of a request or by crashed incarnation. */
type RecordSource = {
	takeUnsaved(): string | undefined;
	noteUnsaved(subject: string): void;
	getRecord(subject: string): unknown;
	/** Throws if the record is not valid. */
	mergeRecord(subject: string, record: unknown, now: number): void;
	/** Lists the subjects that the store is to hold records of, again if they are lost there. */
	listRecorded(): readonly string[];
};

type RecordsOptions = {
	/** Prefix of the keys of these records in the store. */
	readonly prefix: string;
	readonly suspects: RecordSource;
	/** Whether this entry is the one, among the live entries, that restores the record of a subject. */
	readonly isElected: (subject: string, now: number) => boolean;
	readonly registry: Registry;
	readonly log: (message: string) => void;
};

/** Lifetime of a record, milliseconds: the longest lease of the platform. A request that still crashes targets then is found again. */
const recordLifeMs = 600_000;
/** Interval between two writes, and after a failed one, milliseconds, so that many crashes do not flood the store. */
const writeIntervalMs = 1000;

/** Keeps what is known of the causes of crashes in the store, so that they are refused even after all entries have started again. */
export class CrashRecords {
	/** Revisions of the records read last, by key. */
	private readonly readRevisions = new Map<string, number>();
	private nextAt = 0;
	private isBusy = false;

	constructor(private readonly options: RecordsOptions) {}

	/** Reads the records that have changed in the store; `now` in milliseconds. */
	read(view: {list(prefix: string): readonly StoredValue[]}, now: number): void {
		const {prefix, suspects, isElected} = this.options;
		const records = view.list(prefix);
		for (const item of records.filter(({key, revision}) => this.readRevisions.get(key) !== revision)) {
			this.readOne(item, now);
		}

		this.readRevisions.clear();
		for (const {key, revision} of records) {
			this.readRevisions.set(key, revision);
		}

		for (const subject of suspects.listRecorded()) {
			if (!this.readRevisions.has(`${prefix}${subject}`) && isElected(subject, now)) {
				suspects.noteUnsaved(subject);
			}
		}
	}

	/** Writes a record that has changed, if one is due; `now` in milliseconds. */
	async tick(now: number): Promise<void> {
		const {suspects, log} = this.options;
		const subject = now >= this.nextAt && !this.isBusy ? suspects.takeUnsaved() : undefined;
		if (subject === undefined) {
			return;
		}

		this.isBusy = true;
		this.nextAt = now + writeIntervalMs;
		const problem = await this.tryWrite(subject);
		this.isBusy = false;
		if (problem !== undefined) {
			suspects.noteUnsaved(subject);
			log(`crash record of ${subject} not written, will be retried: ${problem}`);
		}
	}

	private async tryWrite(subject: string): Promise<string | undefined> {
		try {
			return await this.write(subject);
		} catch (error) {
			return `internal error, ${(error as Error).stack}`;
		}
	}

	private async write(subject: string): Promise<string | undefined> {
		const {prefix, registry} = this.options;
		const put = await this.makePut(subject);
		if (put.isErr()) {
			return put.error.message;
		}

		const written = await replaceKey(registry, {key: `${prefix}${subject}`, put: put.value});
		if (written.isErr()) {
			return written.error.message;
		}

		return written.value === undefined ? 'the key has changed meanwhile' : undefined;
	}

	/* What the store is to hold; undefined if nothing. */
	private async makePut(subject: string): Promise<Result<Parameters<typeof replaceKey>[1]['put'], PlatformError>> {
		const {suspects, registry} = this.options;
		const record = suspects.getRecord(subject);
		if (record === undefined) {
			return ok(undefined);
		}

		const lease = await registry.grantLeaseFor(recordLifeMs);
		return lease.map(id => ({value: JSON.stringify(record), lease: id}));
	}

	private readOne({key, value}: StoredValue, now: number): void {
		const {prefix, suspects, log} = this.options;
		try {
			suspects.mergeRecord(key.slice(prefix.length), JSON.parse(value), now);
		} catch (error) {
			log(`crash record not accepted: ${describeItemProblem(key, error)}`);
		}
	}
}
