/** What became of a request without an answer: it did not run, it may have run, or it ran and failed. Written into problem answers. */
export type Outcome = 'not-run' | 'unknown' | 'failed';
