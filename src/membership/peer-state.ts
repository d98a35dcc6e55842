/** What is known of another entry: heard lately, silent for a while, silent for long, or never heard. */
export type PeerState = 'live' | 'suspect' | 'dead' | 'unheard';
