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

/** Returns a 64-bit xxHash of a request's organisation, target and body, in hexadecimal, so that any entry recognises a retry of it. */
export function fingerprintRequest({organisation, method, host, url, body}: Identity): string {
	const head = h64([organisation ?? '', method, host, url].join('\n'));
	return h64Raw(body, head).toString(hexadecimal);
}
