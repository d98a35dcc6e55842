/** A settings file that cannot be used: names the file, the key and what was expected there. */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';

	/**
	 * @param file - path of the settings file as it was given
	 * @param problems - one sentence a problem, each starting with its key
	 */
	constructor(readonly file: string, readonly problems: readonly string[]) {
		super(problems.map(problem => `${file}: ${problem}`).join('\n'));
	}
}
