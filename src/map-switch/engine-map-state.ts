import {z} from 'zod';

/** State of an engine's expert maps, as the engine reports it. */
const EngineMapState = z.object({
	/** Next step that the engine will run. */
	step: z.int(),
	/** Epoch of the map in use. */
	epoch: z.int(),
	/** Highest fencing number among the orders that it has taken; 0 if it keeps none. */
	fence: z.int(),
	/** Epoch of the map whose weights are loaded but not yet in use. */
	stagedEpoch: z.int().optional(),
	/** Step that it does not run before it receives the decision. */
	holdStep: z.int().optional(),
	/** Step from which the staged map is used. */
	switchStep: z.int().optional(),
});
type EngineMapState = z.infer<typeof EngineMapState>;

export {EngineMapState};
