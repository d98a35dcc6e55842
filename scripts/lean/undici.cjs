// What the programs use of undici. Its own index also loads fetch, caches, web sockets and mocks: 5 MB in each process.
'use strict';

const api = require('undici/lib/api');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');

/** As undici's own `request`, for a whole URL and a dispatcher that is always given. */
async function request(url, options) {
	const {origin, pathname, search} = new URL(url);
	return api.request.call(options.dispatcher, {
		...options, origin, path: `${pathname}${search}`, method: options.method ?? 'GET',
	});
}

module.exports = {Agent, Client, request};
