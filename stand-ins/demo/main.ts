import process from 'node:process';
import {createHash} from 'node:crypto';
import {readClock} from '../../src/config/read-clock.js';
import {startSystem} from '../system/start-system.js';

const firstHttpPort = 8080;
const stepMs = 20;
const token = 'demo-token';
const tokenHash = createHash('sha256').update(token).digest('hex');

const table = [
	'service,organisation,group,weight,concurrency,requests_per_second,tokens_per_second,urgency,token_sha256',
	`*,granite-ledge,*,2,64,200,,3,${tokenHash}`,
	'stone-drafts,granite-ledge,*,2,32,50,20000,2,',
].join('\n');

const system = await startSystem({
	zones: ['barre-hall', 'quincy-hall'],
	entriesPerZone: 2,
	ranks: 4,
	workers: 2,
	table,
	clock: readClock,
	random: Math.random,
	firstHttpPort,
	isPaced: true,
});
const stepper = setInterval(() => {
	system.group.advance();
}, stepMs);
const [entry] = system.entries.values();
const base = `http://127.0.0.1:${firstHttpPort}`;

process.stdout.write(String.raw`wardswitch runs: 2 zones, ${system.entries.size} entries, ${system.targets.size} targets. Try:

  curl -N ${base}/v1/chat/completions -H 'Authorization: Bearer ${token}' -H 'Content-Type: application/json' \
    -d '{"model":"stone-drafts","stream":true,"messages":[{"role":"user","content":"granite"}]}'
  curl ${base}/services/yard-dispatch/tickets -H 'Authorization: Bearer ${token}' -H 'Idempotency-Key: ticket-7' -d 'release 7'
  node dist/src/bin/wardswitch.js table get --platform ${system.platform.url}
  node dist/src/bin/wardswitch.js status --entry http://127.0.0.1:${entry.adminPort}

End it with Ctrl-C.
`);

process.once('SIGINT', () => {
	clearInterval(stepper);
	void system.close().then(() => {
		process.exitCode = 0;
	});
});
