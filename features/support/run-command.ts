import {PassThrough, Readable} from 'node:stream';
import {createCommandLine} from '../../src/cli/create-command-line.js';

type Outcome = {readonly code: number; readonly stdout: string; readonly stderr: string};

const collect = (): {readonly stream: PassThrough; readonly read: () => string} => {
	const stream = new PassThrough();
	let text = '';
	stream.on('data', chunk => {
		text += String(chunk);
	});
	return {stream, read: () => text};
};

/** Runs the operator's command line in this process and returns its exit code and output. */
export async function runCommand(words: readonly string[], stdin = Readable.from([])): Promise<Outcome> {
	const out = collect();
	const error = collect();
	const code = await createCommandLine().run([...words], {stdin, stdout: out.stream, stderr: error.stream});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return {code, stdout: out.read(), stderr: error.read()};
}
