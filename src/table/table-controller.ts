import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type KeyValue} from '../key-value/key-value.js';
import {runGuarded} from '../log/run-guarded.js';
import {fetchTable} from './fetch-table.js';
import {fetchSnapshot} from './fetch-snapshot.js';
import {makeSnapshot} from './make-snapshot.js';
import {parseHead} from './parse-head.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';
import {type TableSnapshot} from './table-snapshot.js';

type ControllerOptions = {
	readonly keyValue: KeyValue;
	readonly random: () => number;
	readonly log: (message: string) => void;
	/** Called after a version has come into force. */
	readonly onInstall: (table: TableSnapshot) => void;
};

/** Minimum time before the pages of a version are requested from a peer again, milliseconds. */
const requestRetryMs = 500;
/** Backoff after failed reads of the platform, milliseconds; doubled at each failure. */
const initialBackoffMs = 200;
const maximumBackoffMs = 30_000;
/** Mean interval at which an entry without a watch polls the platform, milliseconds. */
const pollIntervalMs = 60_000;

/**
 * Keeps the table of this entry up to date.
 *
 * The version never decreases: older versions are ignored, whether they come from a peer or from the platform. A few
 * entries of each availability zone watch the platform; the others get new versions from peers.
 */
export class TableController {
	/** How the platform or a peer differs from the table in force: an older version, or another change of the same version. Shown in /status. */
	divergence: string | undefined;
	/** Time of the last successful read of the platform, milliseconds since the epoch; 0 if there was none. */
	platformReadAt = 0;

	private table: TableSnapshot | undefined;
	private isWatcher = false;
	private watchAbort: AbortController | undefined;
	private nextFetchAt = 0;
	private backoffMs = initialBackoffMs;
	private requestedAt = 0;
	private requestedVersion = 0;
	private isFetching = false;

	constructor(private readonly options: ControllerOptions) {}

	get current(): TableSnapshot | undefined {
		return this.table;
	}

	get version(): number {
		return this.table?.version ?? 0;
	}

	get changeId(): string {
		return this.table?.head.changeId ?? '';
	}

	/** Sets whether this entry watches the platform for its availability zone. */
	setWatcher(isWatcher: boolean, now: number): void {
		if (isWatcher === this.isWatcher) {
			return;
		}

		this.isWatcher = isWatcher;
		this.watchAbort?.abort();
		this.nextFetchAt = isWatcher ? now : now + pollIntervalMs;
	}

	/** Reads the table from the platform if a read is due: at the start, as a watcher without a running watch, or after the poll interval. */
	tick(now: number): void {
		if (!this.isFetching && now >= this.nextFetchAt && !(this.isWatcher && this.watchAbort)) {
			this.isFetching = true;
			runGuarded(this.options.log, 'reading of the platform', async () => this.fetch(now).finally(() => {
				this.isFetching = false;
			}));
		}
	}

	/** Notes the version that a peer or target holds; returns the request for its pages to send to it if the version is newer. */
	noteVersion(version: number, changeId: string, now: number): MessageOf<'table-wanted'> | undefined {
		if (version === this.version && changeId !== '' && changeId !== this.changeId) {
			this.reportDivergence(`a peer holds another version ${version} (change ${changeId})`);
		}

		const isRequested = version <= this.requestedVersion && now - this.requestedAt < requestRetryMs;
		if (version <= this.version || isRequested) {
			return undefined;
		}

		this.requestedAt = now;
		this.requestedVersion = version;
		return {type: 'table-wanted', tableVersion: this.version, pages: [...this.pages.keys()]};
	}

	/** Creates the answer to a peer's request: the head and the pages that the peer lacks. Undefined if this entry has no newer version. */
	createOffer(request: MessageOf<'table-wanted'>): LinkMessage | undefined {
		if (!this.table || request.tableVersion >= this.version) {
			return undefined;
		}

		const held = new Set(request.pages);
		const pages = [...this.pages.values()].filter(({hash}) => !held.has(hash));
		return {type: 'table-offered', head: JSON.stringify(this.table.head), pages};
	}

	/** Installs the version that a peer sent, if it is newer and no page is missing. */
	applyOffer(offered: MessageOf<'table-offered'>): void {
		const head = parseHead(offered.head);
		if (head.isErr()) {
			this.options.log(`offered table not accepted: ${head.error.message}`);
			return;
		}

		if (head.value.version <= this.version) {
			return;
		}

		const pages = new Map(this.pages);
		for (const page of offered.pages) {
			pages.set(page.hash, page);
		}

		if (!head.value.pages.every(hash => pages.has(hash))) {
			return;
		}

		const snapshot = makeSnapshot(head.value, selectPages(pages, head.value.pages));
		if (snapshot.isErr()) {
			this.options.log(`offered table not accepted: ${snapshot.error.message}`);
			return;
		}

		this.install(snapshot.value);
	}

	/** Ends the watch and stops reading the platform. */
	close(): void {
		this.watchAbort?.abort();
		this.nextFetchAt = Number.POSITIVE_INFINITY;
	}

	private get pages(): ReadonlyMap<string, TablePage> {
		return this.table?.pages ?? new Map();
	}

	private async fetch(now: number): Promise<void> {
		const stored = await fetchTable(this.options.keyValue, this.pages);
		if (stored.isErr()) {
			this.backOff(now, stored.error.message);
			return;
		}

		this.backoffMs = initialBackoffMs;
		this.platformReadAt = now;
		this.nextFetchAt = now + (pollIntervalMs * (0.5 + this.options.random()));
		this.reconcile(stored.value.snapshot);
		if (this.isWatcher) {
			runGuarded(this.options.log, 'watch of the platform', async () => this.watchHead(stored.value.revision, now));
		}
	}

	private backOff(now: number, message: string): void {
		this.options.log(`reading the platform failed: ${message}`);
		this.nextFetchAt = now + (this.backoffMs * (0.5 + this.options.random()));
		this.backoffMs = Math.min(this.backoffMs * 2, maximumBackoffMs);
	}

	private async watchHead(revision: number, now: number): Promise<void> {
		const abortController = new AbortController();
		this.watchAbort = abortController;
		const result = await this.options.keyValue.watch(tableKeys.head, revision, change => {
			runGuarded(this.options.log, 'reading of a changed table', async () => this.applyHeadChange(change.value));
		}, abortController.signal);
		if (this.watchAbort === abortController) {
			this.watchAbort = undefined;
			this.nextFetchAt = Math.min(this.nextFetchAt, now + (initialBackoffMs * (0.5 + this.options.random())));
			this.options.log(`watch ended: ${result.isErr() ? result.error.message : 'closed by the platform'}`);
		}
	}

	private async applyHeadChange(headText: string): Promise<void> {
		const snapshot = await fetchSnapshot(this.options.keyValue, headText, this.pages);
		if (snapshot.isOk()) {
			this.reconcile(snapshot.value);
			return;
		}

		// The pages cannot be read now. Ending the watch makes the next fetch read them again.
		this.options.log(`reading a changed table failed: ${snapshot.error.message}`);
		this.watchAbort?.abort();
	}

	/* The platform may hold an older version than the one in force if it was restored from a backup. */
	private reconcile(snapshot: TableSnapshot | undefined): void {
		const version = snapshot?.version ?? 0;
		if (version < this.version) {
			this.reportDivergence(`the platform holds version ${version}, older than version ${this.version} in force`);
			return;
		}

		if (snapshot && version === this.version && snapshot.head.changeId !== this.changeId) {
			this.reportDivergence(`the platform holds another version ${version} (change ${snapshot.head.changeId})`);
			return;
		}

		this.divergence = undefined;
		if (snapshot && version > this.version) {
			this.install(snapshot);
		}
	}

	private install(snapshot: TableSnapshot): void {
		if (snapshot.version <= this.version) {
			return;
		}

		this.table = snapshot;
		this.options.log(`version ${snapshot.version} in force`);
		this.options.onInstall(snapshot);
	}

	private reportDivergence(message: string): void {
		if (this.divergence !== message) {
			this.options.log(message);
		}

		this.divergence = message;
	}
}

function selectPages(pages: ReadonlyMap<string, TablePage>, hashes: readonly string[]): Map<string, TablePage> {
	return new Map(hashes.map(hash => [hash, pages.get(hash)!]));
}
