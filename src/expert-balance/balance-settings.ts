import {z} from 'zod';

/** When a group's map is changed, and how much of it. */
const BalanceSettings = z.strictObject({
	leastGain: z.number().min(0).default(0.2).meta({description: 'Least fall of the skew (time of the most loaded ranks by the mean) that a change of the map must promise'}),
	leastRelief: z.number().min(0).default(0.03).meta({description: 'Least relief that each copied expert must bring, as a share of the mean rank load of its layer'}),
	horizonMs: z.int().min(100).default(2000).meta({description: 'How long a map is taken to serve before demand moves on, milliseconds; a smaller change is in force sooner and serves longer of it'}),
	intervalMs: z.int().min(50).default(200).meta({description: 'Time between two plans, milliseconds'}),
});
type BalanceSettings = z.infer<typeof BalanceSettings>;

export {BalanceSettings};
