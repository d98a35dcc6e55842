import process from 'node:process';
import {readFileSync} from 'node:fs';
import {Command, Option, UsageError} from 'clipanion';
import {connectLink} from '../../link/connect-link.js';
import {linkProtocolVersion} from '../../link/link-protocol-version.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

/** Timeout of connecting to the target, milliseconds. */
const timeoutMs = 5000;
/** Maximum size of a frame on the link, bytes. */
const maximumFrameBytes = 1024 * 1024;

/** `target stop ID` and `target start ID`: starts or cancels the planned stop of a target. */
export class TargetOrder extends OperatorCommand {
	static override paths = [['target', 'stop'], ['target', 'start']];
	static override usage = Command.Usage({description: 'start a planned stop of a target, or cancel it'});
	id = Option.String();
	keyFile = Option.String('--key-file', {description: 'file that holds the key of the links, hexadecimal'});

	async execute(): Promise<number> {
		const key = this.keyFile === undefined ? this.getSettings().linkKey : readFileSync(this.keyFile, 'utf8').trim();
		if (key === undefined) {
			throw new UsageError('expected --key-file FILE, or linkKey in the settings');
		}

		const vms = await this.fetchVms();
		const vm = vms.find(({id, role}) => id === this.id && role === 'target');
		if (!vm) {
			this.printErrors([`no target is listed as "${this.id}"; see "target list"`]);
			return exitCode.refused;
		}

		const type = this.path[1] === 'stop' ? 'stop' : 'start';
		const isLeaving = await sendStateChange(vm.address, vm.linkPort, key, type);
		this.print({id: this.id, leaving: isLeaving}, [`${this.id} ${isLeaving ? 'takes no new requests and completes the running ones' : 'takes requests'}`]);
		return exitCode.ok;
	}
}

/* A target announces a change of its state on every link. If it is in the wanted state already, its welcome shows it and nothing is sent. */
async function sendStateChange(address: string, port: number, key: string, type: 'stop' | 'start'): Promise<boolean> {
	const connection = await connectLink({
		address, port, key, timeoutMs, maximumFrameBytes, meter: () => undefined,
	});
	const wanted = type === 'stop';
	return new Promise((resolve, reject) => {
		connection.onClose(error => {
			reject(error ?? new Error('the target closed the link'));
		});
		connection.onMessage(message => {
			if (message.type === 'welcome' && message.leaving !== wanted) {
				connection.send({type});
			} else if (message.type === 'welcome' || message.type === 'leaving') {
				resolve(message.leaving);
				connection.close();
			}
		});
		connection.send({
			type: 'hello', protocol: linkProtocolVersion, id: 'operator', role: 'operator', availabilityZone: '', incarnation: String(process.pid), tableVersion: 0,
		});
	});
}
