import {z} from 'zod';

/** When the planner changes a group's expert map, and by how much. */
const BalanceSettings = z.strictObject({
	leastGain: z.number().min(0).default(0.2).meta({description: 'Minimum reduction of the skew (time of the most loaded ranks divided by the mean) that a new map must be expected to bring'}),
	leastRelief: z.number().min(0).default(0.03).meta({description: 'Minimum load that each copied expert must take off the most loaded ranks, as a share of the mean rank load of its layer'}),
	horizonMs: z.int().min(100).default(2000).meta({description: 'Assumed time before demand shifts again, milliseconds; a smaller change is in force sooner and is of use for more of it'}),
	intervalMs: z.int().min(50).default(200).meta({description: 'Time between two plans, milliseconds'}),
});
type BalanceSettings = z.infer<typeof BalanceSettings>;

export {BalanceSettings};
