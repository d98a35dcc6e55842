/** Header names and values alternating, as they were received. */
export type RawHeaders = readonly string[];
