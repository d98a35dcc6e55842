// The parts of undici that the programs use. Its index also loads fetch, caches, web sockets and mocks: 5 MB in each process.
'use strict';

const api = require('undici/lib/api');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');

/** Same as undici's `request`, but only for an absolute URL and an explicit dispatcher. */
async function request(url, options) {
	const {origin, pathname, search} = new URL(url);
	return api.request.call(options.dispatcher, {
		...options, origin, path: `${pathname}${search}`, method: options.method ?? 'GET',
	});
}

module.exports = {Agent, Client, request};
