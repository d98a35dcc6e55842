import {err, ok, type Result} from 'neverthrow';
import {MapError} from './map-error.js';
import {type MapShape} from './map-shape.js';

/** Checks that every expert can have a slot, and that no rank needs to hold an expert twice. */
export function checkShape(shape: MapShape): Result<MapShape, MapError> {
	const {experts, ranks, slots} = shape;
	if (ranks * slots < experts) {
		return err(new MapError(`${ranks} ranks of ${slots} slots hold ${ranks * slots} experts; expected room for all ${experts}`));
	}

	if (slots > experts) {
		return err(new MapError(`${slots} slots a rank; expected at most ${experts}, the number of experts`));
	}

	return ok(shape);
}
