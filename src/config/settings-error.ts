/** A settings file that cannot be used. The message names the file, each key with a problem and the expected value. */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';

	/**
	 * @param file - path of the settings file as it was given
	 * @param problems - one sentence per problem, starting with the key
	 */
	constructor(readonly file: string, readonly problems: readonly string[]) {
		super(problems.map(problem => `${file}: ${problem}`).join('\n'));
	}
}
