import {findPorts} from './programs.js';

const zones = ['barre-hall', 'quincy-hall', 'stony-hall'];
export const bounds = {
	drainMs: 2000, graceS: 8, configApplyMs: 2000, settleWindowMs: 3000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 90,
};
const host = '127.0.0.1';

/** Makes the platform's fields for the templates of entries. */
export async function makeEntries(count, store) {
	const ports = await findPorts(count * 4);
	return Array.from({length: count}, (_empty, number) => {
		const [front, link, ready, metricsPort] = ports.slice(number * 4);
		return {
			nodeName: `front-${number}`, zone: zones[number % zones.length], listen: {front: `${host}:${front}`, ready: `${host}:${ready}`}, port: front, readyPort: ready,
			internalPorts: [link], seeds: [], metricsPort, platform: {address: store.address}, bounds,
		};
	});
}

/** Makes the platform's fields for the templates of rank processes. */
export async function makeRanks(group, store) {
	const ports = await findPorts(group.size * 2);
	return group.ranks.map(({address}, number) => ({
		nodeName: `side-${number}`, zone: zones[number % zones.length], ip: host, internalPorts: [ports[number * 2]], metricsPort: ports[(number * 2) + 1], service: group.service, app: address,
		platform: {address: store.address},
	}));
}

/** Asks an entry whether it is ready. */
export async function isReady({readyPort}) {
	try {
		const answer = await fetch(`http://${host}:${readyPort}/v1/ready`);
		return answer.status === 200;
	} catch {
		return false;
	}
}
