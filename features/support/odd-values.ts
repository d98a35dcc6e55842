const depth = 100_000;
const length = 1_000_000;

/** Values that another writer may leave under any key, by what is odd about them. */
export const oddValues: Readonly<Record<string, string>> = {
	nothing: '',
	null: 'null',
	'text that is not JSON': '{"epoch":',
	'no fields': '{}',
	'very deep nesting': '['.repeat(depth) + ']'.repeat(depth),
	'a deep field': `{"epoch":1,"engines":${'['.repeat(depth)}${']'.repeat(depth)},"incarnations":[1],"met":[],"parts":{},"refused":{}}`,
	'a number too large': '{"epoch":1e999,"engines":["10.0.0.1:80"],"incarnations":1e400,"parts":-1e400}',
	'fields of other types': '{"epoch":"1","engines":7,"incarnations":{},"met":"","parts":[],"refused":3}',
	'a prototype': '{"__proto__":{"epoch":1,"engines":[]},"parts":{"__proto__":1}}',
	'bytes that are no text': '\u{FFFD}{\u{FFFD}',
	'line breaks': 'a\r\nb: 1\0',
	'an IP number too large': '999.1.1.1:80',
	'a port out of range': '127.0.0.1:70000',
	'a name in place of an IP number': 'nowhere.example:80',
	'very long text': 'x'.repeat(length),
	'very long names': `{"incarnations":["${'x'.repeat(length)}"],"met":[],"parts":{"${'x'.repeat(length)}":""},"refused":[]}`,
};
