import {randomUUID} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {stringify} from 'smol-toml';
import {findFreePorts} from '../../../bench/support/find-free-ports.js';
import {createEtcdKeyValue} from '../../../src/key-value/create-etcd-key-value.js';
import {applyTable} from '../../../src/table/apply-table.js';
import {parseTable} from '../../../src/table/parse-table.js';
import {startKeyValueService} from '../../../stand-ins/platform/start-key-value-service.js';
import {startVmList} from '../../../stand-ins/platform/start-vm-list.js';
import {type SystemWorld} from '../system-world.js';
import {tokens} from '../tokens.js';
import {type CrowdSystem} from './crowd-system.js';
import {LimitedProcess} from './limited-process.js';
import {startCrowdTarget} from './start-crowd-target.js';

const bodyBytes = 1024 * 1024;
const platformTimeoutMs = 2000;

/** Starts an entry and a target process before a plain service, with the stand-ins of the platform. */
export async function startEntrySystem(world: SystemWorld, machine: ConstructorParameters<typeof LimitedProcess>[2]): Promise<CrowdSystem> {
	const [platform, vmList, target] = await Promise.all([startKeyValueService(Date.now), startVmList(), startCrowdTarget()]);
	const keyValue = createEtcdKeyValue({url: platform.url, timeoutMs: platformTimeoutMs, onCall: () => undefined});
	const table = parseTable(tokens.table)._unsafeUnwrap();
	const applied = await applyTable(keyValue, table, {
		changeId: randomUUID(), operator: 'setup', now: Date.now(), knownVersion: 0,
	});
	applied._unsafeUnwrap();
	const [httpPort, entryLink, entryAdmin, targetLink, targetAdmin] = await findFreePorts(5);
	const folder = mkdtempSync(path.join(tmpdir(), 'wardswitch-crowd-'));
	const start = (program: string, settings: Readonly<Record<string, unknown>>): LimitedProcess => {
		const file = path.join(folder, `${program}.toml`);
		writeFileSync(file, stringify({
			availabilityZone: 'barre-hall', platform: {keyValue: platform.url, vmList: vmList.url, vmListIntervalMs: 200}, link: {key: 'a1'.repeat(32)}, ...settings,
		}));
		return new LimitedProcess(program, [`dist/src/bin/${program}.js`, file], machine);
	};

	const shared = {
		address: '127.0.0.1', region: 'default', availabilityZone: 'barre-hall', state: 'live',
	} as const;
	vmList.vms.push(
		{
			...shared, id: 'entry', role: 'entry', linkPort: entryLink, adminPort: entryAdmin,
		},
		{
			...shared, id: 'yard-0', role: 'target', linkPort: targetLink, adminPort: targetAdmin, service: 'yard', kind: 'plain',
		},
	);
	const entry = start('wardswitch-entry', {
		id: 'entry', httpPort, linkPort: entryLink, adminPort: entryAdmin, stopDelayMs: 0,
	});
	const yard = start('wardswitch-target', {
		id: 'yard-0', linkPort: targetLink, adminPort: targetAdmin, service: 'yard', kind: 'plain', url: `http://${target.address}`,
	});
	world.onClose(() => {
		entry.send('SIGKILL');
		yard.send('SIGKILL');
		target.close();
		void platform.close();
		void vmList.close();
	});
	return {
		entry,
		processes: [entry, yard],
		ports: {
			callers: httpPort, links: entryLink, admin: entryAdmin, 'links of the target': targetLink, 'admin of the target': targetAdmin,
		},
		readyPort: entryAdmin,
		bodyBytes,
		path: '/services/yard/',
		makeHeaders: () => `Authorization: Bearer ${tokens.granite}\r\n`,
		untilHeld: target.untilHeld,
		release: target.release,
	};
}
