import {readFileSync} from 'node:fs';
import {OperatorSettings} from '../../src/cli/operator-settings.js';
import {describeSettings} from '../../src/config/describe-settings.js';
import {EntrySettings} from '../../src/config/entry-settings.js';
import {ForwardEntrySettings} from '../../src/config/forward-entry-settings.js';
import {RankSettings} from '../../src/config/rank-settings.js';
import {TargetSettings} from '../../src/config/target-settings.js';
import {type CapacityFigure} from './capacity-figure.js';
import {formatFigures} from './format-figures.js';
import {replaceSection} from './replace-section.js';

type Page = {readonly file: string; readonly text: string};

/** Generates the documentation pages that contain settings schemas or measured figures; `npm run docs` writes them. */
export function makePages(): Page[] {
	const settings = [
		'# Settings',
		'',
		'Written by `npm run docs` from the schemas in `src/config` and `src/cli`. Files are TOML; unknown keys are errors.',
		'',
		'## wardswitch-entry',
		'',
		describeSettings(EntrySettings),
		'',
		'## wardswitch-target',
		'',
		describeSettings(TargetSettings),
		'',
		'## wardswitch-entry that forwards straight to targets',
		'',
		describeSettings(ForwardEntrySettings),
		'',
		'## wardswitch-rank',
		'',
		describeSettings(RankSettings),
		'',
		'## wardswitch',
		'',
		describeSettings(OperatorSettings),
		'',
	].join('\n');
	const figures = JSON.parse(readFileSync('docs/capacity-figures.json', 'utf8')) as CapacityFigure[];
	const capacity = readFileSync('docs/CAPACITY.md', 'utf8');
	return [
		{file: 'docs/SETTINGS.md', text: settings},
		{file: 'docs/CAPACITY.md', text: replaceSection(capacity, 'figures', formatFigures(figures))},
	];
}
