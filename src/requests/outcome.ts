/** What became of a request that has no answer: it truly did not run, it may have run, or it ran and gave an error. */
export type Outcome = 'not-run' | 'unknown' | 'failed';
