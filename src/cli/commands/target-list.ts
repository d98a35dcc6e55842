import {Command} from 'clipanion';
import {request} from 'undici';
import {z} from 'zod';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

const targetStatus = z.object({state: z.string(), load: z.object({running: z.number(), waiting: z.number()})});
/** Timeout of the request for the status of a target, milliseconds. */
const timeoutMs = 2000;

/** `target list`: lists the targets. */
export class TargetList extends OperatorCommand {
	static override paths = [['target', 'list']];
	static override usage = Command.Usage({description: 'list the targets with their state in the VM list and the state that each reports itself'});

	async execute(): Promise<number> {
		const vms = await this.fetchVms();
		const listed = vms.filter(({role}) => role === 'target');
		const targets = await Promise.all(listed.map(async vm => ({vm, status: await fetchStatus(`http://${vm.address}:${vm.adminPort}/status`)})));
		this.print(targets, targets.map(({vm, status}) => {
			const reported = status ? `${status.state}, ${status.load.running} running, ${status.load.waiting} waiting` : 'does not answer';
			return `${vm.id}  ${vm.service ?? ''}  ${vm.availabilityZone}  listed ${vm.state}, ${reported}`;
		}));
		return exitCode.ok;
	}
}

async function fetchStatus(url: string): Promise<z.infer<typeof targetStatus> | undefined> {
	try {
		const answer = await request(url, {headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
		return targetStatus.parse(await answer.body.json());
	} catch {
		return undefined;
	}
}
