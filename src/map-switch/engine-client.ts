import {type MessageOf} from '../link/message-of.js';
import {type EngineMapState} from './engine-map-state.js';

/** Client for the map orders of an engine. Each order resolves to whether the engine took it, and rejects if that is unknown. */
export type EngineClient = {
	/** Reads the engine's map state. */
	read(): Promise<EngineMapState>;
	/** Loads the weights of the next map beside those in use. */
	stage(order: MessageOf<'map-stage'>): Promise<boolean>;
	/** Makes the engine stop before `step` until it receives the decision. */
	prepare(order: MessageOf<'map-prepare'>): Promise<boolean>;
	/** Sends the decision, which ends the hold: switch at `step`, or drop the staged map. */
	decide(order: MessageOf<'map-decision'>): Promise<boolean>;
};
