import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const root = path.join(import.meta.dirname ?? path.dirname(new URL(import.meta.url).pathname), '..', '..');

/** Finds ports that are free now. */
export async function findPorts(count, host = '127.0.0.1') {
	const servers = Array.from({length: count}, () => createServer());
	const ports = [];
	for (const server of servers) {
		server.listen(0, host);
		await once(server, 'listening');
		ports.push(server.address().port);
	}

	for (const server of servers) {
		server.close();
	}

	await delay(20);
	return ports;
}

const find = (fields, name) => {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
};

/* Placeholders of DEPLOY.md, as far as the templates of this project use them. */
const render = (template, fields) => template
	.replaceAll(/\{\{([\w.]+)\|json\}\}/gv, (_all, name) => JSON.stringify(find(fields, name)))
	.replaceAll(/\{\{([\w.]+)\}\}/gv, (_all, name) => String(find(fields, name) ?? ''));

/** The words of the `run` line of a role in the deploy file. */
const readRun = role => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`, 2)[1];
	return /^run = "(?<run>[^"]+)"$/mv.exec(section).groups.run.split(' ');
};

/** Starts and ends processes of the project, with the deploy file's commands and templates. Ends only what it started. */
export class Programs {
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#children = new Map();

	constructor() {
		const endAll = () => {
			for (const child of this.#children.values()) {
				child.kill('SIGKILL');
			}
		};

		process.once('exit', endAll);
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
			process.once(signal, () => {
				endAll();
				process.kill(process.pid, signal);
			});
		}
	}

	/**
	 * Starts a process, or starts it again.
	 *
	 * @param name - name of the process
	 * @param role - role in the deploy file
	 * @param fields - the platform's fields for the template, besides `metricsPort`, which the template has as a number
	 */
	start(name, role, fields) {
		const template = readFileSync(path.join(root, `deploy/${role}.toml.template`), 'utf8');
		const file = path.join(this.folder, `${name}.toml`);
		// On the platform each process has a machine of its own; here they share an address, so that the fixed port must differ.
		writeFileSync(file, render(template, fields).replace('metricsPort = 9464', `metricsPort = ${fields.metricsPort}`));
		const [command, ...words] = readRun(role);
		const log = openSync(path.join(this.folder, `${name}.log`), 'a');
		const child = spawn(command === 'node' ? process.execPath : command, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, WARDSWITCH_BOOT: file}, stdio: ['ignore', log, log],
		});
		this.#children.set(name, child);
	}

	/** Sends a signal to a process that was started here. */
	signal(name, signal) {
		this.#children.get(name).kill(signal);
	}

	isRunning(name) {
		const child = this.#children.get(name);
		return child !== undefined && child.exitCode === null && child.signalCode === null;
	}

	readLog(name) {
		return readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
	}

	/** Ends all processes and removes the temporary folder, unless KEEP is set. */
	async close() {
		for (const child of this.#children.values()) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		if (process.env.KEEP === undefined) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}
