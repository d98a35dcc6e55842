import {RoutingConfiguration} from '../../src/fleet/routing-configuration.js';
import {Target} from '../../src/fleet/target.js';
import {type FleetSource} from '../../src/forward/fleet-source.js';
import {parseJsonItem} from '../../src/key-value/parse-json-item.js';

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
		return stored && parseJsonItem(stored, RoutingConfiguration).match(configuration => configuration, problem => {
			throw new Error(problem);
		});
	},
	readTargets(view, report) {
		return view.list('targets/').flatMap(item => {
			const target = parseJsonItem(item, Target);
			if (target.isErr()) {
				report(target.error);
			}

			return target.isOk() ? [target.value] : [];
		});
	},
};
