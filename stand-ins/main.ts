import {readFileSync} from 'node:fs';
import process from 'node:process';
import {readClock} from '../src/config/read-clock.js';
import {type Vm} from '../src/vm-list/vm.js';
import {EngineGroup} from './engine/engine-group.js';
import {startEngine} from './engine/start-engine.js';
import {startKeyValueService} from './platform/start-key-value-service.js';
import {startVmList} from './platform/start-vm-list.js';
import {startPlainService} from './service/start-plain-service.js';

/** Interval between the steps of a stand-in engine, and of one that keeps its streams open (`paced`), milliseconds. */
const stepMs = 20;
const slowStepMs = 500;

const [kind, portText, argument] = process.argv.slice(2);
const port = Number(portText);

switch (kind) {
	case 'key-value': {
		await startKeyValueService(readClock, port);
		break;
	}

	case 'vm-list': {
		const list = await startVmList(port);
		list.vms.push(...JSON.parse(readFileSync(argument, 'utf8')) as Vm[]);
		break;
	}

	case 'engine': {
		const group = new EngineGroup(1, true);
		await startEngine({
			group, rank: 0, defaultTokens: 8, isPaced: argument === 'paced', port,
		});
		setInterval(() => {
			group.advance();
			group.records.length = 0;
		}, argument === 'paced' ? slowStepMs : stepMs);
		break;
	}

	case 'service': {
		await startPlainService(port);
		break;
	}

	default: {
		process.stderr.write('usage: main.js key-value|vm-list|engine|service PORT [vms.json|paced]\n');
		process.exitCode = 2;
	}
}
