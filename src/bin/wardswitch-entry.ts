#!/usr/bin/env node
/* eslint-disable import-x/no-unassigned-import -- both take effect when they are loaded, before any other module */
import '../log/enable-log.js';
import './process-signals.js';

// Loaded once signals are handled: loading takes time, in which a signal must not end the process.
const {runEntry} = await import('./run-entry.js');
await runEntry();
