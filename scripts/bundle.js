// Bundles each of the platform's programs into a few files under target/, which load much faster than separate modules.
import {rmSync} from 'node:fs';
import {build} from 'esbuild';

const programs = ['entry', 'rank'];

/* eslint-disable require-unicode-regexp -- esbuild's filters accept no flags */
/* Bundled code costs memory and start time in every process, so only parts of two packages are bundled. */
const leanPackages = {
	name: 'lean-packages',
	setup({onResolve}) {
		onResolve({filter: /^undici$/}, () => ({path: new URL('lean/undici.cjs', import.meta.url).pathname}));
		// Leaves out zod's messages in languages other than English.
		onResolve({filter: /^\.\.\/locales\/index\.js$/}, ({importer, resolveDir}) => importer.includes('/zod/') ? {path: `${resolveDir}/../locales/en.js`} : undefined);
	},
};
/* eslint-enable require-unicode-regexp */

for (const program of programs) {
	// What a program loads once it handles signals is in a folder of its own.
	rmSync(`target/${program}`, {recursive: true, force: true});
	await build({
		entryPoints: [`platform/${program}.ts`],
		outdir: 'target',
		outExtension: {'.js': '.mjs'},
		splitting: true,
		chunkNames: `${program}/[name]-[hash]`,
		bundle: true,
		// Identifiers are not minified, for readable stack traces.
		minifySyntax: true,
		minifyWhitespace: true,
		platform: 'node',
		target: 'node20',
		format: 'esm',
		plugins: [leanPackages],
		// Packages in CommonJS call `require` for Node's own modules.
		banner: {js: 'import {createRequire as makeRequire} from \'node:module\'; const require = makeRequire(import.meta.url);'},
	});
}
