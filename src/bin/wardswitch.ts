#!/usr/bin/env node
import process from 'node:process';
import {createCommandLine} from '../cli/create-command-line.js';

process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	// The reader of a pipe, such as `head`, has seen enough.
	if (error.code !== 'EPIPE') {
		throw error;
	}

	process.exit();
});

await createCommandLine().runExit(process.argv.slice(2));
