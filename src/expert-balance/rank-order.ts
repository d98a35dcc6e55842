import {z} from 'zod';

/* The engine refuses an order of an earlier epoch: its group has been re-formed since. */
const expectation = {epoch: z.int()};
const map = z.array(z.array(z.array(z.int().min(0))));

/** An order about expert maps for one rank's engine. */
const RankOrder = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('prepare'), ...expectation, version: z.int().min(1), map,
	}),
	z.object({
		type: z.literal('arm'), ...expectation, version: z.int().min(1), step: z.int(),
	}),
	z.object({type: z.literal('disarm'), ...expectation, version: z.int().min(1)}),
	z.object({type: z.literal('hold'), ...expectation, step: z.int()}),
	z.object({type: z.literal('release'), ...expectation, step: z.int()}),
]);
type RankOrder = z.infer<typeof RankOrder>;

export {RankOrder};
