import {Command} from 'clipanion';
import {z} from 'zod';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

const entryStatus = z.looseObject({
	id: z.string(),
	availabilityZone: z.string(),
	isReady: z.boolean(),
	table: z.looseObject({version: z.number(), platformAgeMs: z.number().optional(), trouble: z.string().optional()}),
	list: z.looseObject({vms: z.number(), ageMs: z.number().optional()}),
	entries: z.array(z.looseObject({id: z.string(), state: z.string()})),
	targets: z.array(z.looseObject({id: z.string(), isReady: z.boolean(), isLeaving: z.boolean()})),
});

const describeAge = (ageMs: number | undefined): string => ageMs === undefined ? 'never' : `${(ageMs / 1000).toFixed(1)} s ago`;

/** `status`: shows the state of each entry. */
export class Status extends OperatorCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({description: 'show each entry with its table, platform, peers and targets, and the age of this data'});

	async execute(): Promise<number> {
		const entries = await this.findEntryUrls();
		const pages = await Promise.all(entries.map(async entry => ({entry, page: entryStatus.safeParse(await this.fetchAdminPage(entry, 'status'))})));
		const lines = pages.flatMap(({entry, page}) => page.success ? describe(page.data) : [`${entry}: cannot be reached`]);
		this.print(pages.map(({entry, page}) => ({entry, status: page.data})), lines);
		return pages.some(({page}) => page.success) ? exitCode.ok : exitCode.unavailable;
	}
}

function describe(page: z.infer<typeof entryStatus>): string[] {
	const {table, list, entries, targets} = page;
	const notLive = entries.filter(({state}) => state !== 'live').map(({id, state}) => `${id} (${state})`);
	const notReady = targets.filter(({isReady}) => !isReady).map(({id}) => id);
	const leaving = targets.filter(({isLeaving}) => isLeaving).map(({id}) => id);
	return [
		`${page.id} in ${page.availabilityZone}: ${page.isReady ? 'ready' : 'not ready'}`,
		`  table version ${table.version}; the platform was read ${describeAge(table.platformAgeMs)}`,
		...(table.trouble ? [`  trouble: ${table.trouble}`] : []),
		`  list of ${list.vms} VMs, read ${describeAge(list.ageMs)}`,
		`  other entries: ${entries.length}, not live: ${notLive.join(', ') || 'none'}`,
		`  linked targets: ${targets.length}, not ready: ${notReady.join(', ') || 'none'}, leaving: ${leaving.join(', ') || 'none'}`,
	];
}
