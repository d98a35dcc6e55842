/** The engine could not be reached at all, which proves that it never saw the request. */
export class EngineRefusal extends Error {
	override readonly name = 'EngineRefusal';
}
