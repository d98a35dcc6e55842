import {getRowKey} from './get-row-key.js';
import {Row} from './row.js';
import {type TableHead} from './table-head.js';
import {type TablePage} from './table-page.js';

const wildcard = '*';

/** An immutable version of the table, indexed for lookups. */
export class TableSnapshot {
	private readonly rowByKey = new Map<string, Row>();
	private readonly organisationByToken = new Map<string, string>();

	/**
	 * @param head - head of the version
	 * @param pages - every page that the head lists, by hash
	 */
	constructor(readonly head: TableHead, readonly pages: ReadonlyMap<string, TablePage>) {
		for (const hash of head.pages) {
			for (const row of Row.array().parse(JSON.parse(pages.get(hash)!.text))) {
				this.addRow(row);
			}
		}
	}

	get version(): number {
		return this.head.version;
	}

	get rows(): Row[] {
		return [...this.rowByKey.values()];
	}

	/** Finds the organisation that owns a bearer token, by the token's SHA-256 in hexadecimal. */
	findOrganisation(tokenHash: string): string | undefined {
		return this.organisationByToken.get(tokenHash);
	}

	/**
	 * Finds the most specific matching row: the one with the fewest wildcards. Among equals, a row that names the service
	 * comes first, then one that names the organisation. Cells are not inherited from less specific rows.
	 */
	findRow(service: string, organisation: string, group: string): Row | undefined {
		const names = [
			[service, organisation, group],
			[service, organisation, wildcard],
			[service, wildcard, group],
			[wildcard, organisation, group],
			[service, wildcard, wildcard],
			[wildcard, organisation, wildcard],
			[wildcard, wildcard, group],
			[wildcard, wildcard, wildcard],
		];
		for (const name of names) {
			const row = this.rowByKey.get(name.join('/'));
			if (row) {
				return row;
			}
		}

		return undefined;
	}

	private addRow(row: Row): void {
		this.rowByKey.set(getRowKey(row), row);
		for (const hash of row.tokenHashes) {
			this.organisationByToken.set(hash, row.organisation);
		}
	}
}
