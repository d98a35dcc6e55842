import {type Result} from 'neverthrow';
import {parseJsonItem} from '../key-value/parse-json-item.js';
import {TableError} from './table-error.js';
import {TableHead} from './table-head.js';
import {tableKeys} from './table-keys.js';

/** Parses the head of a table, from the platform or a peer. */
export function parseHead(headText: string): Result<TableHead, TableError> {
	return parseJsonItem({key: tableKeys.head, value: headText}, TableHead).mapErr(problem => new TableError('damaged', problem));
}
