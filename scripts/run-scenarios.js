/* Runs every scenario. One that fails counts unless KNOWN-RED.txt lists it, which the verdict's formatter looks up. */
import {spawn} from 'node:child_process';
import process from 'node:process';

const verdict = /^\d+ passed, (?<failed>\d+) failed$/v;
const runner = spawn('node_modules/.bin/cucumber-js', process.argv.slice(2), {stdio: ['ignore', 'pipe', 'inherit']});
let rest = '';
let failed;
runner.stdout.on('data', chunk => {
	process.stdout.write(chunk);
	const lines = (rest + chunk).split('\n');
	rest = lines.pop();
	for (const line of lines) {
		failed = verdict.exec(line)?.groups.failed ?? failed;
	}
});
runner.on('close', () => {
	// Without a verdict the run broke off, which is a failure as well.
	process.exitCode = failed === '0' ? 0 : 1;
});
