#!/usr/bin/env node
/* eslint-disable import-x/order, import-x/no-unassigned-import -- logging must be enabled before any module loads the logger */
import '../log/enable-log.js';
import process from 'node:process';
import {EntrySettings} from '../config/entry-settings.js';
import {readClock} from '../config/read-clock.js';
import {readSettings} from '../config/read-settings.js';
import {startEntry} from '../entry/start-entry.js';
import {runProcess} from './run-process.js';

await runProcess({
	name: 'wardswitch-entry',
	readFile: file => readSettings(file, EntrySettings),
	start: async settings => startEntry(settings, readClock, Math.random),
}, process.argv.slice(2));
