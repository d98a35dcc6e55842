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
/* Fields of the messages on one attempt of a request. */
const callFields = {id: z.string().max(128), attempt: z.int().min(0)};
const sequence = z.int().min(0);
const tableVersion = z.int().min(0);
const recordState = z.enum(['absent', 'running', 'done']);
/* Fields of the messages on a switch of expert maps. */
const order = {fence: z.int().min(0), epoch: z.int().min(0)};
const load = z.object({
	running: z.int().min(0),
	waiting: z.int().min(0),
	concurrency: z.int().min(1),
	serviceMs: z.number().min(0),
});
/* Fields of the messages in which a process introduces itself. */
const processFields = {
	protocol: z.int(),
	id: z.string(),
	availabilityZone: z.string(),
	incarnation: z.string(),
	tableVersion,
};

/* For a request that runs at most once: its key, the owner of the key's claim, the only incarnation that may run it, and the claim's expiry (milliseconds since the epoch). */
const once = z.object({
	key: z.string(),
	owner: z.string(),
	incarnation: z.string(),
	expiresAt: z.number(),
});

/** Schema of all messages between two processes on a link. Encoded as they stand in CBOR, so that field names belong to the protocol. */
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
		/** Whether the request may wait in the target's queue; if not, a busy target refuses it at once. */
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
		/** Address at which the sender listens for links. */
		address: z.string(),
		availabilityZone: z.string(),
		/** Latest revision of the store in the sender's view. */
		viewRevision: Revision,
		/** Time since the sender's view was last known to be current, milliseconds. */
		viewAgeMs: z.number(),
		/** Version of the configuration in force at the sender; 0 while none is. */
		configurationVersion: z.int().min(0),
		/** Requests that the sender has in flight, by target. */
		inFlight: z.record(z.string(), z.int().min(0)),
		...EntryDigest.shape,
		/** Addresses of the entries that the sender knows, so that a starting entry can find all of them without the store. */
		peers: z.array(z.string()).optional(),
		/** Addresses of entries from which the sender receives no reports, although it can reach them; absent when there are none. */
		unheard: z.array(z.string()).optional(),
	}),
	/* Before a request is sent to a target that has announced a limit, the entry that manages the limit's permits is asked for one. */
	z.object({type: z.literal('permit-wanted'), number: z.int().min(0), limit: LimitDigest}),
	z.object({
		type: z.literal('permit'),
		number: z.int().min(0),
		isGranted: z.boolean(),
		/** Time until the next permit is available, milliseconds. */
		nextMs: z.number().min(0),
	}),
	z.object({type: z.literal('view-wanted'), after: Revision}),
	z.object({type: z.literal('view-offered'), view: ViewSnapshot}),
	z.object({
		type: z.literal('rank-status'),
		/** Highest planner term that the sender knows of; the report was read after it learned of that term. */
		term: z.int().min(0),
		/** Address at which the rank's engine takes orders, for a planner that has lost contact with the rank's process. */
		engineAddress: z.string(),
		/** Last heartbeat of a planner (`rank-term`): its term, its sending time by the planner's clock, and the time since it arrived at the rank, milliseconds. */
		sign: z.object({term: z.int().min(0), sentAt: z.number(), agoMs: z.number().min(0)}).optional(),
		report: RankReport,
		counts: ExpertCounts.optional(),
		/** Experts that the rank holds, by layer, and the version of the map that placed them. */
		placement: RankPlacement.optional(),
	}),
	/* An order from a planner to an engine. The planner sends it to an entry, which delivers it, so that no VM of a rank does. */
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
		/** Sending time by the planner's clock, milliseconds; ranks send it back with their reports. */
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
