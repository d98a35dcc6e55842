/** Version of the messages on links; a peer with another one is turned away. */
export const linkProtocolVersion = 2;
