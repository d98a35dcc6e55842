import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Given, Then} from '@cucumber/cucumber';
import {fetchVmList} from '../../src/vm-list/fetch-vm-list.js';
import {type SystemWorld} from '../support/system-world.js';

const vm = {
	id: 'sound', role: 'entry', availabilityZone: 'barre-hall', address: '10.0.0.1', linkPort: 7180, state: 'live',
};

Given('a list of VMs with a sound one and one whose {word} is {}', async function (this: SystemWorld, field: string, value: string) {
	const document = JSON.parse(value) as unknown;
	const odd = field === 'whole' ? document : {...vm, id: 'odd', [field]: document};
	const server = createServer((_request, response) => {
		response.end(JSON.stringify({vms: [vm, odd]}));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	this.onClose(() => {
		server.close();
		server.closeAllConnections();
	});
	this.notes.set('url', `http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
});

Then('the sound VM is listed, and the other is reported with {string}', async function (this: SystemWorld, place: string) {
	const problems: string[] = [];
	const list = await fetchVmList({
		url: this.notes.get('url') as string,
		timeoutMs: 1000,
		previous: undefined,
		report(problem) {
			problems.push(problem);
		},
	});
	assert.deepEqual(list._unsafeUnwrap().vms.map(({id}) => id), ['sound']);
	assert.equal(problems.length, 1);
	assert.ok(problems[0].includes(place), problems[0]);
});
