import {type Route} from './route.js';
import {type Service} from './service.js';
import {type RoutingConfiguration} from './routing-configuration.js';

/** One version of the configuration, indexed for request routing. */
export class RouteTable {
	/** Routes of each host, sorted by descending prefix length. */
	private readonly routesByHost = new Map<string, Route[]>();
	private readonly organisationByKey = new Map<string, string>();

	constructor(readonly configuration: RoutingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesByHost.get(route.host) ?? [];
			routes.push(route);
			this.routesByHost.set(route.host, routes);
		}

		for (const routes of this.routesByHost.values()) {
			routes.sort((one, other) => other.prefix.length - one.prefix.length);
		}

		for (const {name, keys} of configuration.organisations ?? []) {
			for (const key of keys) {
				this.organisationByKey.set(key, name);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether callers must send an API key on routes that are not public. */
	get needsKeys(): boolean {
		return this.configuration.organisations !== undefined;
	}

	/** The route with the longest prefix that matches the path; undefined if none matches. */
	findRoute(host: string, path: string): Route | undefined {
		return this.routesByHost.get(host)?.find(route => path.startsWith(route.prefix));
	}

	/** The configuration of a service; undefined if there is none. */
	findService(name: string): Service | undefined {
		return this.configuration.services.find(service => service.name === name);
	}

	/** The organisation that an API key belongs to; undefined if the key is not known. */
	findOrganisation(key: string): string | undefined {
		return this.organisationByKey.get(key);
	}
}
