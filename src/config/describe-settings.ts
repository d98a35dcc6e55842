import {z} from 'zod';

const property = z.looseObject({
	type: z.string().optional(),
	description: z.string().optional(),
	default: z.unknown().optional(),
	enum: z.array(z.string()).optional(),
	properties: z.record(z.string(), z.unknown()).optional(),
	required: z.array(z.string()).optional(),
});

const describeProperties = (document: unknown, prefix: string): string[] => {
	const {properties = {}, required = []} = property.parse(document);
	return Object.entries(properties).flatMap(([name, child]) => {
		const parsed = property.parse(child);
		if (parsed.properties) {
			return describeProperties(child, `${prefix}${name}.`);
		}

		const defaultText = parsed.default === undefined ? (required.includes(name) ? 'required' : 'none') : JSON.stringify(parsed.default);
		return [`| \`${prefix}${name}\` | ${parsed.enum?.join(', ') ?? parsed.type ?? ''} | ${defaultText} | ${parsed.description ?? ''} |`];
	});
};

/** Formats a settings schema as a Markdown table with one row per key: key, type, default and meaning. */
export function describeSettings(schema: z.ZodType): string {
	const document = z.toJSONSchema(schema, {io: 'input'});
	return ['| key | type | default | meaning |', '|---|---|---|---|', ...describeProperties(document, '')].join('\n');
}
