/** What a connection gives up when memory or descriptors are short: itself while idle or within a head, a body, waiting requests, or an unread answer. */
export type ReleaseKind = 'idle' | 'head' | 'body' | 'waiting' | 'answer';
