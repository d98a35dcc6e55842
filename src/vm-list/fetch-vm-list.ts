import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {documentAgent} from '../http/document-agent.js';
import {PlatformError} from '../key-value/platform-error.js';
import {type VmList} from './vm-list.js';
import {Vm} from './vm.js';

const document = z.object({vms: z.array(Vm)});
const notModified = 304;

type FetchOptions = {
	readonly url: string;
	readonly timeoutMs: number;
	/** The last list; returned again if the platform reports no change. */
	readonly previous: VmList | undefined;
};

/** Fetches the platform's list of live and leaving VMs with a conditional HTTP request. */
export async function fetchVmList({url, timeoutMs, previous}: FetchOptions): Promise<Result<VmList, PlatformError>> {
	try {
		const headers = previous?.tag ? {'if-none-match': previous.tag} : {};
		const answer = await request(url, {headers, dispatcher: documentAgent, signal: AbortSignal.timeout(timeoutMs)});
		if (answer.statusCode === notModified && previous) {
			await answer.body.dump();
			return ok(previous);
		}

		const {vms} = document.parse(await answer.body.json());
		return ok({vms, tag: String(answer.headers.etag ?? '')});
	} catch (error) {
		return err(new PlatformError(`list of VMs: ${(error as Error).message}`, 'no'));
	}
}
