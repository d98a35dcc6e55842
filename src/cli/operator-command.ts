import {existsSync} from 'node:fs';
import {Command, Option, UsageError} from 'clipanion';
import {request} from 'undici';
import {readSettings} from '../config/read-settings.js';
import {createEtcdKeyValue} from '../key-value/create-etcd-key-value.js';
import {fetchVmList} from '../vm-list/fetch-vm-list.js';
import {type KeyValue} from '../key-value/key-value.js';
import {type Vm} from '../vm-list/vm.js';
import {OperatorSettings} from './operator-settings.js';

const defaultSettingsFile = 'wardswitch.toml';
/** Timeout of each request to the platform and to entries, milliseconds. */
const timeoutMs = 5000;

/** Base class of the commands that use the platform or entries: their common options, settings, access and output. */
export abstract class OperatorCommand extends Command {
	settingsFile = Option.String('--settings', {description: `settings file; ${defaultSettingsFile} by default`});
	platformUrl = Option.String('--platform', {description: 'base URL of the key-value service'});
	vmListUrl = Option.String('--vm-list', {description: 'URL of the VM list'});
	entryUrls = Option.Array('--entry', {description: 'admin URL of an entry; may be repeated'});
	isJson = Option.Boolean('--json', false, {description: 'print JSON'});

	private settings: OperatorSettings | undefined;

	protected getSettings(): OperatorSettings {
		this.settings ??= this.loadSettings();
		return this.settings;
	}

	protected openKeyValue(): KeyValue {
		const url = this.platformUrl ?? this.getSettings().platform.keyValue;
		if (url === undefined) {
			throw new UsageError('expected --platform URL, or platform.keyValue in the settings');
		}

		return createEtcdKeyValue({url, timeoutMs, onCall: () => undefined});
	}

	protected async fetchVms(): Promise<readonly Vm[]> {
		const url = this.vmListUrl ?? this.getSettings().platform.vmList;
		if (url === undefined) {
			throw new UsageError('expected --vm-list URL, or platform.vmList in the settings');
		}

		const list = await fetchVmList({
			url,
			timeoutMs,
			previous: undefined,
			report: problem => {
				this.context.stderr.write(`list of VMs: ${problem}\n`);
			},
		});
		if (list.isErr()) {
			throw list.error;
		}

		return list.value.vms;
	}

	/** Finds the admin URLs of entries: those of the options, else of the settings, else all in the VM list. */
	protected async findEntryUrls(): Promise<string[]> {
		const given = this.entryUrls ?? this.getSettings().entries;
		if (given.length > 0) {
			return given;
		}

		const vms = await this.fetchVms();
		return vms.filter(vm => vm.role === 'entry' && vm.adminPort !== undefined).map(vm => `http://${vm.address}:${vm.adminPort}`);
	}

	/** Fetches a JSON document from an entry's admin server; undefined if the entry cannot be reached or does not answer with status 200. */
	protected async fetchAdminPage(entry: string, page: string): Promise<unknown> {
		try {
			const answer = await request(`${entry}/${page}`, {headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
			const document = await answer.body.json();
			return answer.statusCode === 200 ? document : undefined;
		} catch {
			return undefined;
		}
	}

	/** Prints the document as JSON with `--json`, else the lines. */
	protected print(document: unknown, lines: readonly string[]): void {
		const text = this.isJson ? JSON.stringify(document) : lines.join('\n');
		this.context.stdout.write(`${text}\n`);
	}

	/** Prints lines to standard error. */
	protected printErrors(lines: readonly string[]): void {
		this.context.stderr.write(`${lines.join('\n')}\n`);
	}

	private loadSettings(): OperatorSettings {
		if (this.settingsFile === undefined && !existsSync(defaultSettingsFile)) {
			return OperatorSettings.parse({});
		}

		const settings = readSettings(this.settingsFile ?? defaultSettingsFile, OperatorSettings);
		if (settings.isErr()) {
			throw new UsageError(settings.error.message);
		}

		return settings.value;
	}
}
