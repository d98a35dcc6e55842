#!/usr/bin/env node
import process from 'node:process';
import {createCommandLine} from '../cli/create-command-line.js';

process.exitCode = await createCommandLine().run(process.argv.slice(2));
