import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {request} from 'undici';
import {findFreePorts} from '../../bench/support/find-free-ports.js';
import {type SystemWorld} from '../support/system-world.js';

type ProcessResult = {readonly code: number; readonly text: string};

/* Runs a binary until it exits and collects its output; `meanwhile` is called once it has been started. */
const runBinary = async (program: string, commandArguments: readonly string[], meanwhile?: (child: ReturnType<typeof spawn>) => Promise<void>): Promise<ProcessResult> => {
	const child = spawn(process.execPath, [`dist/src/bin/${program}.js`, ...commandArguments], {stdio: ['ignore', 'pipe', 'pipe']});
	let text = '';
	const collect = (chunk: unknown): void => {
		text += String(chunk);
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);

	const closed = once(child, 'close');
	await meanwhile?.(child);
	const [code] = await closed as [number];
	return {code, text};
};

When('{string} is run with {string}', async function (this: SystemWorld, program: string, words: string) {
	this.notes.set('run', await runBinary(program, words.split(' ')));
});

When('{string} runs and is sent SIGTERM', async function (this: SystemWorld, program: string) {
	const [linkPort, adminPort] = await findFreePorts(2);
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'wardswitch-process-')), 'target.toml');
	const example = readFileSync('examples/target.toml', 'utf8');
	writeFileSync(file, example.replace('linkPort = 7180', `linkPort = ${linkPort}`).replace('adminPort = 9180', `adminPort = ${adminPort}`));
	this.notes.set('run', await runBinary(program, [file], async child => {
		for (;;) {
			try {
				const answer = await request(`http://127.0.0.1:${adminPort}/readyz`);
				await answer.body.dump();
				break;
			} catch {
				await once(child.stdout!, 'data', {signal: AbortSignal.timeout(20)}).catch(() => undefined);
			}
		}

		child.kill('SIGTERM');
	}));
});

Then('it exits with {int} and prints {string}', function (this: SystemWorld, code: number, text: string) {
	const outcome = this.notes.get('run') as ProcessResult;
	assert.equal(outcome.code, code, outcome.text);
	assert.ok(outcome.text.includes(text), outcome.text);
});
