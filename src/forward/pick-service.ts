import {type Route} from '../fleet/route.js';

/** Picks one of a route's services at random by their weights; `random` returns 0 (included) to 1 (excluded). */
export function pickService({destinations}: Route, random: () => number): string {
	let total = 0;
	for (const {weight} of destinations) {
		total += weight;
	}

	let point = random() * total;
	for (const {service, weight} of destinations) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}

	return destinations.at(-1)!.service;
}
