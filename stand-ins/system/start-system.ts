import {EngineGroup} from '../engine/engine-group.js';
import {startKeyValueService} from '../platform/start-key-value-service.js';
import {startVmList} from '../platform/start-vm-list.js';
import {type SystemOptions} from './system-options.js';
import {System} from './system.js';

/** Starts the platform stand-ins, targets and entries, and waits until every entry is ready and linked to its targets. */
export async function startSystem(options: SystemOptions): Promise<System> {
	const platform = await startKeyValueService(options.clock);
	const vmList = await startVmList();
	const system = new System(options, platform, vmList, new EngineGroup(options.ranks, true));
	await system.applyCsv(options.table, 'setup');
	for (let rank = 0; rank < options.ranks; rank++) {
		await system.addRank(rank);
	}

	for (let index = 0; index < options.workers; index++) {
		await system.addWorker(index);
	}

	for (const zone of options.zones) {
		for (let index = 0; index < options.entriesPerZone; index++) {
			await system.startEntry(`${zone}-entry-${index + 1}`, zone);
		}
	}

	await system.waitUntilReady();
	return system;
}
