import process from 'node:process';
import {readClock} from '../config/read-clock.js';
import {readSettings} from '../config/read-settings.js';
import {TargetSettings} from '../config/target-settings.js';
import {startTarget} from '../target/start-target.js';
import {runProcess} from './run-process.js';

/** Runs a target process, with the arguments of the command line. */
export async function runTarget(): Promise<void> {
	await runProcess({
		name: 'wardswitch-target',
		readFile: file => readSettings(file, TargetSettings),
		start: async settings => startTarget(settings, readClock),
	}, process.argv.slice(2));
}
