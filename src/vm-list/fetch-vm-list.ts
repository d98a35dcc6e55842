import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {documentAgent} from '../http/document-agent.js';
import {describeItemProblem} from '../key-value/describe-item-problem.js';
import {PlatformError} from '../key-value/platform-error.js';
import {type VmList} from './vm-list.js';
import {Vm} from './vm.js';

const document = z.object({vms: z.array(z.unknown())});
const notModified = 304;

/* Other programs write the list: a VM that cannot be read must not hide the others. */
const parseVms = (listed: readonly unknown[], report: (problem: string) => void): Vm[] => listed.flatMap((raw, index) => {
	const vm = Vm.safeParse(raw);
	if (!vm.success) {
		report(describeItemProblem(`vms.${index}`, vm.error));
		return [];
	}

	return [vm.data];
});

type FetchOptions = {
	readonly url: string;
	readonly timeoutMs: number;
	/** The last list; returned again if the platform reports no change. */
	readonly previous: VmList | undefined;
	/** Called for each VM in the list that is left out, since it cannot be read. */
	readonly report: (problem: string) => void;
};

/** Fetches the platform's list of live and leaving VMs with a conditional HTTP request. */
export async function fetchVmList({
	url, timeoutMs, previous, report,
}: FetchOptions): Promise<Result<VmList, PlatformError>> {
	try {
		const headers = previous?.tag ? {'if-none-match': previous.tag} : {};
		const answer = await request(url, {headers, dispatcher: documentAgent, signal: AbortSignal.timeout(timeoutMs)});
		if (answer.statusCode === notModified && previous) {
			await answer.body.dump();
			return ok(previous);
		}

		const {vms} = document.parse(await answer.body.json());
		return ok({vms: parseVms(vms, report), tag: String(answer.headers.etag ?? '')});
	} catch (error) {
		return err(new PlatformError(`list of VMs: ${(error as Error).message}`, 'no'));
	}
}
