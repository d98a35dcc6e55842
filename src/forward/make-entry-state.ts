import {type LoadBoard} from '../balance/load-board.js';
import {type RouteTable} from '../fleet/route-table.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {linkProtocol} from '../link/link-protocol.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {EntryMesh} from '../mesh/entry-mesh.js';
import {Registration} from '../mesh/registration.js';
import {StoreView} from '../view/store-view.js';
import {type FleetSource} from './fleet-source.js';
import {FleetState} from './fleet-state.js';
import {makeItemGuard} from './make-item-guard.js';

type MeshOptions = ConstructorParameters<typeof EntryMesh>[0];
type StateOptions = ConstructorParameters<typeof FleetState>[0];

type EntryStateOptions = Pick<MeshOptions, 'getDigest' | 'onDigest' | 'onMessage'> & Pick<StateOptions, 'onTable' | 'onLeave' | 'onRestart' | 'onGroupFormed'> & {
	readonly id: string;
	readonly incarnation: string;
	/** Address and port of this entry's links. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly source: FleetSource;
	readonly directory: TargetDirectory;
	readonly board: LoadBoard;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly clock: () => number;
	readonly random: () => number;
	readonly delay: (ms: number) => Promise<void>;
	readonly log: {readonly view: (message: string) => void; readonly fleet: (message: string) => void; readonly entry: (message: string) => void};
};

type EntryState = {
	readonly view: StoreView;
	readonly fleet: FleetState;
	readonly mesh: EntryMesh;
	/** What is in force; undefined while nothing is known, and while an entry that starts may hear of something newer from a peer. */
	getTable(now: number): RouteTable | undefined;
	/** Entries that are registered in the store. */
	countRegistered(): number;
	/** Begins to follow the store, and to look for the entries at these addresses. */
	start(seeds: readonly string[]): void;
	/** Looks at peers, registrations and what has lapsed. */
	tick(now: number): void;
	close(): void;
};

/** Keys under which this system's own processes register. */
const entriesPrefix = 'wardswitch/entries/';
/** A process that was cut off must be up to date 3 s after its way to the store is back (the platform's bound). */
const viewWaitMs = 2000;
/** Even half as long again, and then the call, is within that bound; each refused call has its price. */
const longestPauseMs = 1000;
/** An entry that starts waits so long for a peer's view before it serves by the store's alone, milliseconds: the store may be older. */
const peerMs = 300;

/** Puts together what an entry knows of the fleet: its view of the store, what is in force by it, and what peers tell. */
export function makeEntryState(options: EntryStateOptions): EntryState {
	const {id, address, availabilityZone, incarnation, clock, log} = options;
	const view: StoreView = new StoreView({
		...options,
		prefix: '',
		guard: makeItemGuard(options.source),
		waitMs: viewWaitMs,
		longestPauseMs,
		log: log.view,
		onChange(now) {
			fleet.refresh(now);
			meetRegistered();
		},
	});
	const fleet = new FleetState({...options, view, log: log.fleet});
	const hello = (): LinkMessage => ({
		type: 'hello', protocol: linkProtocol, id, role: 'entry', availabilityZone, incarnation, tableVersion: 0,
	});
	const mesh = new EntryMesh({
		...options, hello, view, getConfigurationVersion: () => fleet.table?.version ?? 0, log: log.view,
	});
	const meetRegistered = (): void => {
		mesh.meet(view.list(entriesPrefix).map(({value}) => value));
	};

	const key = `${entriesPrefix}${id}`;
	const registration = new Registration({
		...options, key, value: address, log: log.entry,
	});
	/* When there was a configuration to serve by, milliseconds; and whether it is known that no peer in reach has a newer one. */
	let configuredAt: number | undefined;
	let isCompared = false;
	const compare = (now: number): boolean => {
		configuredAt ??= now;
		isCompared ||= mesh.hasHeardView || now - configuredAt >= peerMs;
		return isCompared;
	};

	return {
		view,
		fleet,
		mesh,
		getTable: now => fleet.table && compare(now) ? fleet.table : undefined,
		countRegistered: () => view.list(entriesPrefix).length,
		start(seeds) {
			mesh.meet(seeds);
			void view.run();
		},
		tick(now) {
			mesh.tick();
			view.tick(now);
			fleet.tick(now);
			void registration.tick(now, view.isKnown ? {era: view.asOf.era, item: view.getStored(key)} : undefined);
		},
		close() {
			view.close();
			mesh.close();
		},
	};
}
