import {Formatter, type IFormatterOptions} from '@cucumber/cucumber';
import {type Envelope, TestStepResultStatus} from '@cucumber/messages';
import {readKnownRed} from './read-known-red.js';

type Scenario = {name: string; failure: string | undefined};

const knownRedFile = 'KNOWN-RED.txt';

/**
 * Prints a line for each scenario, with the full message of a failure; at the end a summary line for each failed scenario and the
 * verdict `N passed, N failed`. Scenarios listed as known to fail are marked `known red` if they fail, and counted in neither number.
 */
export default class VerdictFormatter extends Formatter {
	private readonly scenarios = new Map<string, Scenario>();
	private readonly pickleNames = new Map<string, string>();
	private readonly testCaseByAttempt = new Map<string, string>();

	constructor(options: IFormatterOptions) {
		super(options);
		options.eventBroadcaster.on('envelope', (envelope: Envelope) => {
			this.handleEnvelope(envelope);
		});
	}

	private handleEnvelope(envelope: Envelope): void {
		if (envelope.pickle) {
			this.pickleNames.set(envelope.pickle.id, `${envelope.pickle.uri}: ${envelope.pickle.name}`);
		}

		if (envelope.testCase) {
			this.scenarios.set(envelope.testCase.id, {name: this.pickleNames.get(envelope.testCase.pickleId)!, failure: undefined});
		}

		if (envelope.testCaseStarted) {
			this.testCaseByAttempt.set(envelope.testCaseStarted.id, envelope.testCaseStarted.testCaseId);
		}

		if (envelope.testStepFinished) {
			const {testCaseStartedId, testStepResult} = envelope.testStepFinished;
			const scenario = this.scenarios.get(this.testCaseByAttempt.get(testCaseStartedId)!)!;
			if (testStepResult.status !== TestStepResultStatus.PASSED) {
				scenario.failure ??= testStepResult.message ?? testStepResult.status;
			}
		}

		if (envelope.testCaseFinished) {
			this.printScenario(this.scenarios.get(this.testCaseByAttempt.get(envelope.testCaseFinished.testCaseStartedId)!)!);
		}

		if (envelope.testRunFinished) {
			this.printVerdict();
		}
	}

	private printScenario({name, failure}: Scenario): void {
		this.log(failure === undefined ? `ok      ${name}\n` : `FAILED  ${name}\n${failure}\n`);
	}

	private printVerdict(): void {
		const all = [...this.scenarios.values()];
		const failed = all.filter(({failure}) => failure !== undefined);
		const known = readKnownRed(knownRedFile);
		const unknown = failed.filter(({name}) => !known.has(name));
		for (const {name, failure} of failed) {
			this.log(`${known.has(name) ? 'known red' : 'failed'}: ${name}: ${failure!.split('\n', 1)[0]}\n`);
		}

		const namesRun = new Set(all.map(({name}) => name));
		for (const name of known) {
			if (!namesRun.has(name)) {
				this.log(`known red, not run here: ${name}\n`);
			}
		}

		this.log(`${all.length - failed.length} passed, ${unknown.length} failed\n`);
	}
}
