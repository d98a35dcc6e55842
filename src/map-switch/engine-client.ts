import {type MessageOf} from '../link/message-of.js';
import {type EngineMapState} from './engine-map-state.js';

/** The orders for expert maps that an engine takes. Each gives whether the engine took it; it rejects when that is not known. */
export type EngineClient = {
	read(): Promise<EngineMapState>;
	/** Loads the weights of the next map beside those in use. */
	stage(order: MessageOf<'map-stage'>): Promise<boolean>;
	/** Promises to stop before `step` until the decision is told. */
	prepare(order: MessageOf<'map-prepare'>): Promise<boolean>;
	/** Tells the decision: switch at `step`, or drop the staged map; either way the promise is over. */
	decide(order: MessageOf<'map-decision'>): Promise<boolean>;
};
