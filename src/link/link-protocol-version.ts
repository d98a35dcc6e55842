/** Version of the link messages; the link of a peer with another version is closed. */
export const linkProtocolVersion = 2;
