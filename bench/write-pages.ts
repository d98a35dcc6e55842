/* Writes the generated documentation pages: `npm run docs`. */
import {writeFileSync} from 'node:fs';
import {makePages} from './support/make-pages.js';

for (const {file, text} of makePages()) {
	writeFileSync(file, text);
}
