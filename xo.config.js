const houseRules = {
	// House style: one schema names its type, `const Row = z.object(...); type Row = z.infer<typeof Row>`.
	'@typescript-eslint/no-redeclare': 'off',
	'@typescript-eslint/naming-convention': 'off',
	// A default case covers the message types that a part does not handle.
	'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
	// House style: the present time is an argument of functions that decide, which adds one parameter to XO's limit.
	'max-params': ['error', 5],
	// Cucumber's Given and clipanion's Option.String are functions, not constructors.
	'new-cap': 'off',
	// Controllers, watches and retries run their iterations one after the other.
	'no-await-in-loop': 'off',
	// External data is validated by zod schemas; the remaining assertions narrow types that Node's own types leave open.
	'@typescript-eslint/no-unsafe-type-assertion': 'off',
	// Sockets, cbor-x and undici return Buffers, and frames need the integer reads of Buffer.
	'@typescript-eslint/no-restricted-types': 'off',
	// The formatter undoes what this rule requires for `constructor(private readonly options: Options) {}`.
	'@stylistic/curly-newline': 'off',
	// Allows `onClose(() => set.delete(x))` instead of a block that discards the value.
	'@typescript-eslint/strict-void-return': 'off',
};

export default [
	{ignores: ['dist/**', 'docs/**', 'target/**']},
	{rules: houseRules},
];
