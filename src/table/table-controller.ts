import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {type KeyValue} from '../key-value/key-value.js';
import {fetchTable} from './fetch-table.js';
import {fetchSnapshot} from './fetch-snapshot.js';
import {TableHead} from './table-head.js';
import {tableKeys} from './table-keys.js';
import {type TablePage} from './table-page.js';
import {TableSnapshot} from './table-snapshot.js';

type ControllerOptions = {
	readonly keyValue: KeyValue;
	readonly random: () => number;
	readonly log: (message: string) => void;
	/** Called after a version came into force. */
	readonly onInstall: (table: TableSnapshot) => void;
};

/** A wish for the pages of one version is sent again only after this time, milliseconds. */
const requestRetryMs = 500;
const initialBackoffMs = 200;
const maximumBackoffMs = 30_000;
/** How often a process that holds no watch looks at the platform by itself, milliseconds. */
const pollIntervalMs = 60_000;

/**
 * Keeps the table in force at this process.
 *
 * A version only ever goes up. It comes from the platform if this entry watches for its zone, and from peers
 * otherwise; whoever holds an older one, peer or platform, is not obeyed.
 */
export class TableController {
	/** What the platform was last seen to hold, if that is older than, or other than, what is in force. */
	divergence: string | undefined;
	/** When the platform last answered, milliseconds since the epoch; 0: never. */
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

	/** Tells whether this entry watches the platform for its zone. */
	setWatcher(isWatcher: boolean, now: number): void {
		if (isWatcher === this.isWatcher) {
			return;
		}

		this.isWatcher = isWatcher;
		this.watchAbort?.abort();
		this.nextFetchAt = isWatcher ? now : now + pollIntervalMs;
	}

	/** Fetches from the platform when it is time: at the start, as a watcher, or after a long silence. */
	tick(now: number): void {
		if (!this.isFetching && now >= this.nextFetchAt && !(this.isWatcher && this.watchAbort)) {
			this.isFetching = true;
			void this.fetch(now).finally(() => {
				this.isFetching = false;
			});
		}
	}

	/** Learns of a version that a peer or target holds; gives the wish to send back when it is newer. */
	noteVersion(version: number, changeId: string, now: number): MessageOf<'table-wanted'> | undefined {
		if (version === this.version && changeId !== '' && changeId !== this.changeId) {
			this.reportDivergence(`a peer holds another version ${version} (change ${changeId})`);
		}

		const isAsked = version <= this.requestedVersion && now - this.requestedAt < requestRetryMs;
		if (version <= this.version || isAsked) {
			return undefined;
		}

		this.requestedAt = now;
		this.requestedVersion = version;
		return {type: 'table-wanted', tableVersion: this.version, pages: [...this.pages.keys()]};
	}

	/** Answers a peer's wish with the head and the pages that it lacks. */
	createOffer(wish: MessageOf<'table-wanted'>): LinkMessage | undefined {
		if (!this.table || wish.tableVersion >= this.version) {
			return undefined;
		}

		const held = new Set(wish.pages);
		const pages = [...this.pages.values()].filter(({hash}) => !held.has(hash));
		return {type: 'table-offered', head: JSON.stringify(this.table.head), pages};
	}

	/** Takes what a peer offered. */
	applyOffer(offered: MessageOf<'table-offered'>): void {
		const head = TableHead.safeParse(JSON.parse(offered.head));
		if (!head.success || head.data.version <= this.version) {
			return;
		}

		const pages = new Map(this.pages);
		for (const page of offered.pages) {
			pages.set(page.hash, page);
		}

		const isWhole = head.data.pages.every(hash => pages.has(hash));
		if (isWhole) {
			this.install(new TableSnapshot(head.data, selectPages(pages, head.data.pages)));
		}
	}

	/** Ends the watch. */
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
			void this.watchHead(stored.value.revision, now);
		}
	}

	private backOff(now: number, message: string): void {
		this.options.log(`platform not read: ${message}`);
		this.nextFetchAt = now + (this.backoffMs * (0.5 + this.options.random()));
		this.backoffMs = Math.min(this.backoffMs * 2, maximumBackoffMs);
	}

	private async watchHead(revision: number, now: number): Promise<void> {
		const abortController = new AbortController();
		this.watchAbort = abortController;
		const ended = await this.options.keyValue.watch(tableKeys.head, revision, change => {
			void this.applyHeadChange(change.value);
		}, abortController.signal);
		if (this.watchAbort === abortController) {
			this.watchAbort = undefined;
			this.nextFetchAt = Math.min(this.nextFetchAt, now + (initialBackoffMs * (0.5 + this.options.random())));
			this.options.log(`watch ended: ${ended.isErr() ? ended.error.message : 'closed by the platform'}`);
		}
	}

	private async applyHeadChange(headText: string): Promise<void> {
		const snapshot = await fetchSnapshot(this.options.keyValue, headText, this.pages);
		if (snapshot.isOk()) {
			this.reconcile(snapshot.value);
			return;
		}

		// The pages could not be read now; the next fetch will, whether the watch lives or not.
		this.options.log(`change not read: ${snapshot.error.message}`);
		this.watchAbort?.abort();
	}

	/* What the platform holds may be older than what is in force, if it was restored from a copy. */
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
