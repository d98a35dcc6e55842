import {z} from 'zod';

const name = z.string().regex(/^(?:\*|[\w.\-]+)$/v, 'expected a name of letters, digits, ".", "_" and "-", or "*" for any');
const rate = z.number().positive('expected a number above 0, or nothing for no limit');
const factor = z.number().nonnegative('expected a number of 0 or more');

/** One row of the table: weights and limits for a service, an organisation and a group of ranks; `*` matches any name. */
const Row = z.strictObject({
	service: name,
	organisation: name,
	group: name,
	/** Share of a saturated target's capacity, relative to other organisations. */
	weight: z.number().positive('expected a number above 0').default(1),
	/** Maximum number of concurrent requests of the organisation, over all entries. */
	concurrency: z.int('expected a whole number').positive('expected a whole number above 0').optional(),
	requestsPerSecond: rate.optional(),
	tokensPerSecond: rate.optional(),
	/** RFC 9218 urgency: 0 is the most urgent, 7 the least. */
	urgency: z.int('expected a whole number from 0 to 7').min(0).max(7, 'expected a whole number from 0 to 7').default(3),
	/** Weight that the group's owner gives to a lower skew of step times, for the planner of expert maps. */
	skewWeight: factor.default(1),
	/** Weight that the group's owner gives to moving fewer experts, for the planner of expert maps. */
	moveWeight: factor.default(1),
	/** SHA-256 of each bearer token of the organisation, hexadecimal. */
	tokenHashes: z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected SHA-256 hashes of 64 hexadecimal digits, separated by spaces')).default([]),
});
type Row = z.infer<typeof Row>;

export {Row};
