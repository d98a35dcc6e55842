import {RoutingConfiguration} from '../../src/fleet/routing-configuration.js';
import {Target} from '../../src/fleet/target.js';
import {type FleetSource} from '../../src/forward/fleet-source.js';

const parse = (text: string): unknown => {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
};

/** Reads configuration and targets that are stored as JSON of the product's own schemas, without a platform's format. */
export const plainSource: FleetSource = {
	getKind(key) {
		if (key === 'configuration') {
			return 'configuration';
		}

		return key.startsWith('targets/') ? 'target' : undefined;
	},
	readConfiguration(view) {
		const stored = view.get('configuration');
		return stored && RoutingConfiguration.parse(parse(stored.value));
	},
	readTargets(view, report) {
		return view.list('targets/').flatMap(({key, value}) => {
			const target = Target.safeParse(parse(value));
			if (!target.success) {
				report(`${key}: ${target.error.issues[0].message}`);
			}

			return target.success ? [target.data] : [];
		});
	},
};
