/* Runs every scenario and fails if any failed; the verdict formatter does not count those that KNOWN-RED.txt lists. */
import {spawn} from 'node:child_process';
import process from 'node:process';

const verdict = /^\d+ passed, (?<failed>\d+) failed$/v;
const runner = spawn('node_modules/.bin/cucumber-js', process.argv.slice(2), {stdio: ['ignore', 'pipe', 'inherit']});
let partialLine = '';
let failed;
runner.stdout.on('data', chunk => {
	process.stdout.write(chunk);
	const lines = (partialLine + chunk).split('\n');
	partialLine = lines.pop();
	for (const line of lines) {
		failed = verdict.exec(line)?.groups.failed ?? failed;
	}
});
runner.on('close', () => {
	// A run without a verdict was aborted, which also counts as a failure.
	process.exitCode = failed === '0' ? 0 : 1;
});
