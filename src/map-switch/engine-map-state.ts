import {z} from 'zod';

/** What an engine says of its expert maps. */
const EngineMapState = z.object({
	/** Next step that the engine will run. */
	step: z.int(),
	/** Epoch of the map in use. */
	epoch: z.int(),
	/** Highest fencing number it has taken an order with; 0 if it keeps none. */
	fence: z.int(),
	/** Epoch of the map whose weights are loaded and not yet in use. */
	stagedEpoch: z.int().optional(),
	/** Step that it will not run before it is told the decision. */
	holdStep: z.int().optional(),
	/** Step at which the staged map comes into use. */
	switchStep: z.int().optional(),
});
type EngineMapState = z.infer<typeof EngineMapState>;

export {EngineMapState};
