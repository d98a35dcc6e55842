import {z} from 'zod';
import {LimitDigest} from '../balance/limit-digest.js';
import {ExpertCounts} from '../expert-balance/expert-counts.js';
import {RankOrder} from '../expert-balance/rank-order.js';
import {RankOutcome} from '../expert-balance/rank-outcome.js';
import {RankPlacement} from '../expert-balance/rank-placement.js';
import {RankReport} from '../expert-balance/rank-report.js';
import {EntryDigest} from '../mesh/entry-digest.js';
import {Revision} from '../key-value/revision.js';
import {ViewSnapshot} from '../view/view-snapshot.js';

const bytes = z.instanceof(Uint8Array);
const headers = z.record(z.string(), z.union([z.string(), z.array(z.string())]));
const callFields = {id: z.string().max(128), attempt: z.int().min(0)};
const sequence = z.int().min(0);
const tableVersion = z.int().min(0);
const recordState = z.enum(['absent', 'running', 'done']);
const order = {fence: z.int().min(0), epoch: z.int().min(0)};
const load = z.object({
	running: z.int().min(0),
	waiting: z.int().min(0),
	concurrency: z.int().min(1),
	serviceMs: z.number().min(0),
});
const processFields = {
	protocol: z.int(),
	id: z.string(),
	availabilityZone: z.string(),
	incarnation: z.string(),
	tableVersion,
};

/* A request that runs at most once: its key, who owns the key, and the one process incarnation that may run it. */
const once = z.object({
	key: z.string(),
	owner: z.string(),
	incarnation: z.string(),
	expiresAt: z.number(),
});

/** Every message that two processes of the system exchange on a link. */
const LinkMessage = z.discriminatedUnion('type', [
	z.object({type: z.literal('hello'), ...processFields, role: z.enum(['entry', 'target', 'operator'])}),
	z.object({
		type: z.literal('welcome'),
		...processFields,
		leaving: z.boolean(),
		service: z.string().optional(),
		load: load.optional(),
	}),
	z.object({
		type: z.literal('request'),
		...callFields,
		method: z.string(),
		path: z.string(),
		headers,
		body: bytes,
		organisation: z.string(),
		weight: z.number().positive(),
		urgency: z.number(),
		timeoutMs: z.number(),
		/** Whether the request may wait before the engine; if not, a busy target refuses it at once. */
		mayWait: z.boolean(),
		tableVersion,
		once: once.optional(),
	}),
	z.object({type: z.literal('cancel'), ...callFields}),
	z.object({type: z.literal('cancelled'), ...callFields, started: z.boolean()}),
	z.object({type: z.literal('resume'), ...callFields, sequence}),
	z.object({type: z.literal('acknowledge'), ...callFields, sequence}),
	z.object({
		type: z.literal('attach'),
		...callFields,
		key: z.string(),
		owner: z.string(),
	}),
	z.object({
		type: z.literal('head'),
		...callFields,
		sequence,
		status: z.int(),
		headers,
		tableVersion,
	}),
	z.object({
		type: z.literal('data'),
		...callFields,
		sequence,
		chunk: bytes,
	}),
	z.object({type: z.literal('end'), ...callFields, sequence}),
	z.object({
		type: z.literal('broken'),
		...callFields,
		sequence,
		reason: z.string(),
	}),
	z.object({
		type: z.literal('refused'),
		...callFields,
		reason: z.enum(['leaving', 'busy', 'full', 'late', 'cancelled', 'incarnation', 'expired', 'duplicate', 'unavailable', 'unknown-call']),
		retryAfterMs: z.number().min(0),
		record: recordState.optional(),
	}),
	z.object({type: z.literal('load'), load, tableVersion}),
	z.object({type: z.literal('leaving'), leaving: z.boolean()}),
	z.object({type: z.literal('stop')}),
	z.object({type: z.literal('start')}),
	z.object({
		type: z.literal('heartbeat'),
		id: z.string(),
		incarnation: z.string(),
		counter: z.int().min(0),
		tableVersion,
		changeId: z.string(),
		peers: z.array(z.object({id: z.string(), incarnation: z.string(), counter: z.int().min(0)})),
	}),
	z.object({type: z.literal('table-wanted'), tableVersion, pages: z.array(z.string())}),
	z.object({type: z.literal('table-offered'), head: z.string(), pages: z.array(z.object({hash: z.string(), text: z.string()}))}),
	z.object({
		type: z.literal('borrow'),
		loan: z.int().min(0),
		bucket: z.string(),
		amount: z.number().min(0),
	}),
	z.object({
		type: z.literal('lend'),
		loan: z.int().min(0),
		bucket: z.string(),
		amount: z.number().min(0),
		retryAfterMs: z.number().min(0),
	}),
	z.object({type: z.literal('map-loads-wanted'), group: z.string()}),
	z.object({
		type: z.literal('map-loads'),
		group: z.string(),
		epoch: z.int().min(0),
		map: z.array(z.array(z.array(z.int()))),
		loads: z.array(z.array(z.number().min(0))),
	}),
	z.object({
		type: z.literal('map-propose'),
		...order,
		step: z.int().min(0),
		map: z.array(z.array(z.array(z.int()))),
	}),
	z.object({
		type: z.literal('map-stage'),
		...order,
		map: z.array(z.array(z.array(z.int()))),
	}),
	z.object({type: z.literal('map-prepare'), ...order, step: z.int().min(0)}),
	z.object({
		type: z.literal('map-vote'),
		...order,
		rank: z.int().min(0),
		phase: z.enum(['stage', 'prepare']),
		accepted: z.boolean(),
		step: z.int().min(0),
	}),
	z.object({type: z.literal('map-question'), ...order, rank: z.int().min(0)}),
	z.object({
		type: z.literal('map-decision'),
		...order,
		step: z.int().min(0),
		decision: z.enum(['commit', 'abort', 'undecided']),
	}),
	z.object({
		type: z.literal('entry-load'),
		id: z.string(),
		/** Where the sender takes links. */
		address: z.string(),
		availabilityZone: z.string(),
		/** Revision of the store that the sender's view includes. */
		viewRevision: Revision,
		/** How long ago that view was known to be current, milliseconds. */
		viewAgeMs: z.number(),
		/** Version of the configuration in force at the sender; 0 while none is. */
		configurationVersion: z.int().min(0),
		/** Requests that the sender has in flight, by target. */
		inFlight: z.record(z.string(), z.int().min(0)),
		...EntryDigest.shape,
		/** Addresses of the entries that the sender knows, so that a starting one finds all without the store. */
		peers: z.array(z.string()).optional(),
	}),
	/* A request for a target that names a limit asks the entry that keeps its permits. */
	z.object({type: z.literal('permit-wanted'), number: z.int().min(0), limit: LimitDigest}),
	z.object({
		type: z.literal('permit'),
		number: z.int().min(0),
		isGranted: z.boolean(),
		/** How long until the next one can be had, milliseconds. */
		nextMs: z.number().min(0),
	}),
	z.object({type: z.literal('view-wanted'), after: Revision}),
	z.object({type: z.literal('view-offered'), view: ViewSnapshot}),
	z.object({
		type: z.literal('rank-status'),
		/** Highest planner term that the sender has heard of; the report was read after that. */
		term: z.int().min(0),
		/** Where the rank's engine takes orders, for a planner that has lost the process beside it. */
		engineAddress: z.string(),
		/** A planner's last sign of life: its term, when it was sent by that planner's clock, and how long ago it came in, milliseconds. */
		sign: z.object({term: z.int().min(0), sentAt: z.number(), agoMs: z.number().min(0)}).optional(),
		report: RankReport,
		counts: ExpertCounts.optional(),
		/** Experts that the rank holds by layer, with the version of the map that says so. */
		placement: RankPlacement.optional(),
	}),
	/* An order that an entry gives for a planner, so that no VM of a rank is the one that gives it. */
	z.object({
		type: z.literal('engine-order'),
		number: z.int().min(0),
		engineAddress: z.string(),
		order: RankOrder,
	}),
	z.object({type: z.literal('engine-outcome'), number: z.int().min(0), outcome: RankOutcome}),
	z.object({
		type: z.literal('rank-term'),
		term: z.int().min(0),
		/** By the planner's own clock, milliseconds; it is sent back with reports. */
		sentAt: z.number(),
	}),
	z.object({
		type: z.literal('rank-order'),
		group: z.string(),
		term: z.int().min(0),
		number: z.int().min(0),
		order: RankOrder,
	}),
	z.object({
		type: z.literal('rank-outcome'),
		group: z.string(),
		number: z.int().min(0),
		rank: z.int().min(0),
		outcome: RankOutcome,
	}),
]);
type LinkMessage = z.infer<typeof LinkMessage>;

export {LinkMessage};
