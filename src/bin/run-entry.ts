import process from 'node:process';
import {EntrySettings} from '../config/entry-settings.js';
import {readClock} from '../config/read-clock.js';
import {readSettings} from '../config/read-settings.js';
import {startEntry} from '../entry/start-entry.js';
import {runProcess} from './run-process.js';

/** Runs an entry, with the arguments of the command line. */
export async function runEntry(): Promise<void> {
	await runProcess({
		name: 'wardswitch-entry',
		readFile: file => readSettings(file, EntrySettings),
		start: async settings => startEntry(settings, readClock, Math.random),
	}, process.argv.slice(2));
}
