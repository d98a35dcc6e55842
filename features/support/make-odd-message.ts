import {LinkMessage} from '../../src/link/link-message.js';

/** A schema, as far as messages need it to be walked. */
type Schema = {
	readonly def: {
		readonly type: string;
		readonly shape?: Readonly<Record<string, Schema>>;
		readonly element?: Schema;
		readonly valueType?: Schema;
		readonly innerType?: Schema;
		readonly options?: readonly Schema[];
		readonly values?: readonly unknown[];
		readonly entries?: Readonly<Record<string, unknown>>;
	};
};
type Draw = (count: number) => number;

const texts = ['', 'a', '127.0.0.1:1', '127.0.0.1:99999', '999.1.1.1:80', 'no address', '__proto__', 'constructor', '\0', '%E0%A4%A', '{"a":', 'x'.repeat(3000), 'desk', 'target-1', 'group'];
const numbers = [0, 1, 2, 7, 0.5, -1, 1e15, Number.MAX_SAFE_INTEGER, -Number.MAX_SAFE_INTEGER, 1e308, -1e308];
const strange = [undefined, null, true, 'text', 1, [], {}, [[[]]], {type: 'hello'}, new Uint8Array(3), new Date(0), new Map([[1, 2]]), 10n ** 17n, Number.NaN];
const maximumItems = 4;

const pick = <Item>(items: readonly Item[], draw: Draw): Item => items[draw(items.length)];

const makeItems = (draw: Draw, make: () => unknown): unknown[] => Array.from({length: draw(maximumItems)}, (): unknown => make());

const makeValue = ({def}: Schema, draw: Draw): unknown => {
	switch (def.type) {
		case 'object': {
			return Object.fromEntries(Object.entries(def.shape!).map(([key, schema]) => [key, makeValue(schema, draw)]));
		}

		case 'array': {
			return makeItems(draw, () => makeValue(def.element!, draw));
		}

		case 'record': {
			return Object.fromEntries(makeItems(draw, () => [pick(texts, draw), makeValue(def.valueType!, draw)]) as Array<[string, unknown]>);
		}

		case 'optional': {
			return draw(3) === 0 ? undefined : makeValue(def.innerType!, draw);
		}

		case 'union': {
			return makeValue(pick(def.options!, draw), draw);
		}

		case 'literal': {
			return def.values![0];
		}

		case 'enum': {
			return pick(Object.values(def.entries!), draw);
		}

		case 'number': {
			return pick(numbers, draw);
		}

		case 'string': {
			return pick(texts, draw);
		}

		case 'boolean': {
			return draw(2) === 0;
		}

		default: {
			return new Uint8Array(draw(maximumItems));
		}
	}
};

/* Replaces one part of a value by something of another type. */
const spoil = (value: unknown, draw: Draw): unknown => {
	if (typeof value !== 'object' || value === null || value instanceof Uint8Array || draw(4) === 0) {
		return pick(strange, draw);
	}

	const entries: Array<[string, unknown]> = Object.entries(value);
	const at = draw(Math.max(1, entries.length));
	const spoilt = entries.map(([key, part], index) => [key, index === at ? spoil(part, draw) : part] as const);
	return Array.isArray(value) ? spoilt.map(([, part]): unknown => part) : Object.fromEntries(spoilt);
};

const messages = LinkMessage.def.options as unknown as readonly Schema[];
const getType = ({def}: Schema): unknown => def.shape!.type.def.values![0];
/** A message to stop is not odd: a target obeys it. */
const drawn = messages.filter(schema => getType(schema) !== 'stop');

/**
 * Makes a message of a type, or of any, with unusual values: one that satisfies the schema where the drawn numbers allow it, or, one time in four, one
 * of which a part has another type.
 *
 * @param draw - returns a random integer below its argument
 */
export function makeOddMessage(type: LinkMessage['type'] | undefined, draw: Draw): unknown {
	const schema = messages.find(known => getType(known) === type) ?? pick(drawn, draw);
	const maximumTries = 50;
	for (let tries = 0; tries < maximumTries; tries++) {
		const message = makeValue(schema, draw);
		if (draw(4) === 0) {
			return spoil(message, draw);
		}

		if (LinkMessage.safeParse(message).success) {
			return message;
		}
	}

	return makeValue(schema, draw);
}
