import {type ExpertCounts} from './expert-counts.js';
import {type RankOrder} from './rank-order.js';
import {type RankOutcome} from './rank-outcome.js';
import {type RankPlacement} from './rank-placement.js';
import {type RankReport} from './rank-report.js';

/** Client of one rank's engine: reads its reports and sends it orders. Reading rejects if the engine does not answer. */
export type RankEngine = {
	readReport(): Promise<RankReport>;
	readCounts(): Promise<ExpertCounts>;
	readPlacement(): Promise<RankPlacement>;
	/** Sends an order; resolves to `unknown` if there is no answer, so that it may have been taken or may be taken later. */
	order(order: RankOrder): Promise<RankOutcome>;
};
