import process from 'node:process';

// Roarr reads this variable once, when it is loaded, so a binary must import this module before any other.
process.env.ROARR_LOG ??= 'true';
