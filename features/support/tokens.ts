import {createHash} from 'node:crypto';

const hash = (token: string): string => createHash('sha256').update(token).digest('hex');

/** Bearer tokens of the organisations in scenarios, and a table in CSV with their hashes. */
export const tokens = {
	granite: 'granite-token',
	marble: 'marble-token',
	table: [
		'service,organisation,group,weight,concurrency,requests_per_second,token_sha256',
		`*,granite,*,2,,,${hash('granite-token')}`,
		`*,marble,*,1,,,${hash('marble-token')}`,
	].join('\n'),
} as const;
