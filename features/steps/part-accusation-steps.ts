import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {accuseParts} from '../../src/balance/accuse-parts.js';
import {type SystemWorld} from '../support/system-world.js';

/** Time between two crashes, milliseconds. */
const intervalMs = 1000;

Given('crashes {int} s apart in which these parts were lost, each with its request: {string}', function (this: SystemWorld, _seconds: number, lost: string) {
	const suspects = new Map<string, Map<string, string>>();
	const crashTimes = new Map<string, number>();
	for (const [index, parts] of lost.split('; ').entries()) {
		const crash = `target-${index}`;
		crashTimes.set(crash, index * intervalMs);
		for (const [part, request] of parts.split(' ').map(tagged => tagged.split('/'))) {
			suspects.set(part, (suspects.get(part) ?? new Map<string, string>()).set(crash, request));
		}
	}

	this.notes.set('evidence', {suspects, crashTimes, isAccused: () => false});
});

Given('that nearly all other parts are known to be sound: {word}', function (this: SystemWorld, sound: string) {
	const evidence = this.notes.get('evidence') as Omit<Parameters<typeof accuseParts>[0], 'areOthersSound'>;
	this.notes.set('accused', accuseParts({...evidence, areOthersSound: sound === 'yes'}));
});

Then('{string} is accused', function (this: SystemWorld, accused: string) {
	const accusations = this.notes.get('accused') as ReturnType<typeof accuseParts>;
	assert.equal(accusations.map(({parts}) => parts.join(' or ')).join(', '), accused);
});
