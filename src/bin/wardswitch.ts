#!/usr/bin/env node
import process from 'node:process';
import {createCommandLine} from '../cli/create-command-line.js';

process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	// The reader of the pipe, such as `head`, closed it.
	if (error.code !== 'EPIPE') {
		throw error;
	}

	process.exit();
});

await createCommandLine().runExit(process.argv.slice(2));
