#!/usr/bin/env node
/* eslint-disable import-x/order, import-x/no-unassigned-import -- logging must be enabled before any module loads the logger */
import '../log/enable-log.js';
import process from 'node:process';
import {readClock} from '../config/read-clock.js';
import {readSettings} from '../config/read-settings.js';
import {TargetSettings} from '../config/target-settings.js';
import {startTarget} from '../target/start-target.js';
import {runProcess} from './run-process.js';

await runProcess({
	name: 'wardswitch-target',
	readFile: file => readSettings(file, TargetSettings),
	start: async settings => startTarget(settings, readClock),
}, process.argv.slice(2));
