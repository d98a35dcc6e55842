import createHasher from 'xxhash-wasm';

type Identity = {
	readonly organisation: string | undefined;
	readonly method: string;
	readonly host: string;
	readonly url: string;
	readonly body: Uint8Array;
};

const {h64, h64Raw} = await createHasher();
const hexadecimal = 16;

/** Names a request by its caller, its path and its body, so that it is known when it comes again, at any entry (xxHash, 64 bits). */
export function fingerprintRequest({organisation, method, host, url, body}: Identity): string {
	const head = h64([organisation ?? '', method, host, url].join('\n'));
	return h64Raw(body, head).toString(hexadecimal);
}
