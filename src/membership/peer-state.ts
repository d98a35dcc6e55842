/** State of another entry: recent heartbeat, heartbeat overdue, presumed dead, or no heartbeat received yet. */
export type PeerState = 'live' | 'suspect' | 'dead' | 'unheard';
