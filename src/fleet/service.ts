import {type RoutingConfiguration} from './routing-configuration.js';

/** A service as operators have configured it. */
export type Service = RoutingConfiguration['services'][number];
