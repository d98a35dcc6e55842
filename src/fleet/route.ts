import {type RoutingConfiguration} from './routing-configuration.js';

/** A rule that sends requests of one host and path prefix to services. */
export type Route = RoutingConfiguration['routes'][number];
