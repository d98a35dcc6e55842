import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {exitCode} from '../exit-code.js';
import {OperatorCommand} from '../operator-command.js';

const explanation = z.object({
	id: z.string(),
	service: z.string(),
	organisation: z.string(),
	at: z.number(),
	tookMs: z.number(),
	outcome: z.string(),
	tableVersion: z.number(),
	decisions: z.array(z.string()),
});

/** `explain REQUEST-ID`: prints the decisions that an entry recorded for a request. */
export class Explain extends OperatorCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({description: 'show the decisions on a request; its id is in the header Wardswitch-Request-Id of the answer'});
	id = Option.String();

	async execute(): Promise<number> {
		for (const entry of await this.findEntryUrls()) {
			const parsed = explanation.safeParse(await this.fetchAdminPage(entry, `explain/${encodeURIComponent(this.id)}`));
			if (parsed.success) {
				const {service, organisation, at, tookMs, outcome, tableVersion, decisions} = parsed.data;
				this.print(parsed.data, [
					`${organisation} at ${service}, ${new Date(at).toISOString()}, ${tookMs.toFixed(1)} ms, table version ${tableVersion}: ${outcome}`,
					...decisions.map(decision => `  ${decision}`),
				]);
				return exitCode.ok;
			}
		}

		this.printErrors(['no reachable entry has a record of that request; each entry keeps its last 1000']);
		return exitCode.refused;
	}
}
