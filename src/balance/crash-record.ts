import {z} from 'zod';

/** Longest name of an incarnation in a record, characters, since reports to peers carry it: a target's id is part of a store key. */
const maximumNameLength = 400;
const incarnations = z.array(z.string().max(maximumNameLength));

/** A request that is refused since it crashes targets, as kept in the store. */
const CrashRecord = z.object({
	/** Target incarnations that crashed while they ran the request. */
	incarnations,
	/** The subset of these in which the request had been running for some time at the crash. */
	met: incarnations,
});
type CrashRecord = z.infer<typeof CrashRecord>;

export {CrashRecord};
