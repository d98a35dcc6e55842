/* eslint-disable no-bitwise -- a hash is bits */
/**
 * Mixes two 32-bit hashes into one, so that each name is hashed once and can be ranked for many keys.
 *
 * @see https://github.com/aappleby/smhasher/blob/master/src/MurmurHash3.cpp the finalizer of MurmurHash3
 */
export function mixHashes(one: number, other: number): number {
	let mixed = one ^ Math.imul(other, 0x9E_37_79_B1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
