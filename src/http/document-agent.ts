import {openAgent} from './open-agent.js';

/** The agent of calls that need no connections of their own. */
export const documentAgent = openAgent();
