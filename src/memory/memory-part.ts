/** What memory is held for: a connection, input that is not parsed yet, an unfinished head, requests that wait on it, and head, body and answer of the request being served. */
export type MemoryPart = 'connection' | 'input' | 'head' | 'waiting' | 'request' | 'body' | 'answer';
