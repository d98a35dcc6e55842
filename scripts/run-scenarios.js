/* Runs every scenario and fails if any failed; the verdict formatter does not count those that KNOWN-RED.txt lists. */
import {spawn} from 'node:child_process';
import process from 'node:process';

const verdict = /^(?<passed>\d+) passed, (?<failed>\d+) failed$/v;
/** A run ends within this time after its verdict, milliseconds; otherwise a scenario has left a timer or a socket behind. */
const endTimeoutMs = 20_000;
const runner = spawn('node_modules/.bin/cucumber-js', process.argv.slice(2), {stdio: ['ignore', 'pipe', 'inherit']});
let partialLine = '';
let counts;
let hasEnded = true;

const handleLine = line => {
	const match = verdict.exec(line);
	if (!match) {
		console.log(line);
		return;
	}

	counts = {passed: Number(match.groups.passed), failed: Number(match.groups.failed)};
	setTimeout(() => {
		hasEnded = false;
		runner.kill('SIGKILL');
	}, endTimeoutMs).unref();
};

runner.stdout.on('data', chunk => {
	const lines = (partialLine + chunk).split('\n');
	partialLine = lines.pop();
	for (const line of lines) {
		handleLine(line);
	}
});
runner.on('close', () => {
	if (partialLine !== '') {
		console.log(partialLine);
	}

	// A run without a verdict was aborted, which also counts as a failure.
	if (!counts) {
		process.exitCode = 1;
		return;
	}

	if (!hasEnded) {
		console.log(`failed: the run did not end within ${endTimeoutMs / 1000} s: a scenario has left a timer, a socket or a process behind`);
		counts.failed++;
	}

	console.log(`${counts.passed} passed, ${counts.failed} failed`);
	process.exitCode = counts.failed === 0 ? 0 : 1;
});
