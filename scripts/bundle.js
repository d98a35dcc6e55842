// Puts each of the platform's programs into one file under target/, which loads in a fraction of the time.
import {build} from 'esbuild';

const programs = ['entry', 'rank'];

/* eslint-disable require-unicode-regexp -- the bundler takes no flags */
/* Every process keeps what its bundle holds in memory and pays for it at each start, so two packages come in part. */
const leanPackages = {
	name: 'lean-packages',
	setup({onResolve}) {
		onResolve({filter: /^undici$/}, () => ({path: new URL('lean/undici.cjs', import.meta.url).pathname}));
		// Messages of zod in other languages than English.
		onResolve({filter: /^\.\.\/locales\/index\.js$/}, ({importer, resolveDir}) => importer.includes('/zod/') ? {path: `${resolveDir}/../locales/en.js`} : undefined);
	},
};
/* eslint-enable require-unicode-regexp */

await build({
	entryPoints: programs.map(name => `platform/${name}.ts`),
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	// Names stay as they are, for stack traces.
	minifySyntax: true,
	minifyWhitespace: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	plugins: [leanPackages],
	// Packages in CommonJS call `require` for Node's own modules.
	banner: {js: 'import {createRequire as makeRequire} from \'node:module\'; const require = makeRequire(import.meta.url);'},
});
