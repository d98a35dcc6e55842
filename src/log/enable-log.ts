import process from 'node:process';

// Roarr looks at this once, when it is loaded: a binary imports this module before any other.
process.env.ROARR_LOG ??= 'true';
