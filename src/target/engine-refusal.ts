/** No connection to the engine could be opened, so the engine has not received the request. */
export class EngineRefusal extends Error {
	override readonly name = 'EngineRefusal';
}
