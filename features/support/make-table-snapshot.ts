import {encodePages} from '../../src/table/encode-pages.js';
import {type Row} from '../../src/table/row.js';
import {TableSnapshot} from '../../src/table/table-snapshot.js';

/** Makes a limits table from rows, as a process holds it. */
export function makeTableSnapshot(rows: readonly Row[], version: number, changeId: string): TableSnapshot {
	const pages = encodePages(rows);
	const head = {
		version, changeId, recent: [], at: 0, operator: 'x', pages: pages.map(({hash}) => hash),
	};
	return new TableSnapshot(head, new Map(pages.map(page => [page.hash, page])));
}
