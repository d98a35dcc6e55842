import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type RouteTable} from '../fleet/route-table.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type ChangeFeed} from '../key-value/change-feed.js';
import {type Registry} from '../key-value/registry.js';
import {linkProtocolVersion} from '../link/link-protocol-version.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {ProblemLog} from '../log/problem-log.js';
import {EntryMesh} from '../mesh/entry-mesh.js';
import {entryRegistrations} from '../mesh/entry-registrations.js';
import {FleetStart} from '../mesh/fleet-start.js';
import {Registration} from '../mesh/registration.js';
import {StoreView} from '../view/store-view.js';
import {runGuarded} from '../log/run-guarded.js';
import {type FleetSource} from './fleet-source.js';
import {FleetState} from './fleet-state.js';
import {makeItemComparator} from './make-item-comparator.js';

type MeshOptions = ConstructorParameters<typeof EntryMesh>[0];
type StateOptions = ConstructorParameters<typeof FleetState>[0];

type EntryStateOptions = Pick<MeshOptions, 'getDigest' | 'onDigest' | 'onMessage'> & Pick<StateOptions, 'onTable' | 'onLeave' | 'onRestart' | 'onGroupFormed'> & {
	readonly id: string;
	readonly incarnation: string;
	/** Address and port on which this entry accepts links. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly feed: ChangeFeed;
	readonly registry: Registry;
	readonly source: FleetSource;
	readonly directory: TargetDirectory;
	readonly inFlightCounts: InFlightCounts;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly clock: () => number;
	readonly random: () => number;
	readonly delay: (ms: number) => Promise<void>;
	/** Called after a change of the store, with the present time, milliseconds. */
	readonly onChange?: (view: StoreView, now: number) => void;
	/** Called when a link to a peer has become silent; `since`: when something was last received on it, milliseconds. */
	readonly onSilentLink?: (since: number) => void;
	readonly log: {readonly view: (message: string) => void; readonly fleet: (message: string) => void; readonly entry: (message: string) => void};
};

type EntryState = {
	readonly view: StoreView;
	readonly fleet: FleetState;
	readonly mesh: EntryMesh;
	/** The configuration in force; undefined while none is known, and for a short time after the start while a peer may send a newer one. */
	getTable(now: number): RouteTable | undefined;
	/** Number of entries registered in the store. */
	countRegistered(): number;
	/** Whether all entries have started for the first time. */
	isNewFleet(): boolean;
	/** Starts to follow the store and to connect to the entries at these addresses. */
	start(seeds: readonly string[]): void;
	/** Runs the periodic checks of peers, registrations and expired targets. */
	tick(now: number): void;
	close(): void;
};

/** Mean wait of a call that watches the store, milliseconds: after a partition, a process must be up to date within 3 s (the platform's bound). */
const viewWaitMs = 1200;
/** Longest backoff between calls to the store, milliseconds: even 1.5 times this plus the call is within that bound. Not shorter, since each refused call has a cost. */
const maximumBackoffMs = 1000;
/** How long a starting entry waits for a peer's view before it serves with the store's alone, milliseconds: the store may be older. */
const peerViewWaitMs = 300;

/** Creates the state that an entry shares with the fleet: its view of the store, the configuration and targets derived from it, and its mesh of peers. */
export function makeEntryState(options: EntryStateOptions): EntryState {
	const {id, address, availabilityZone, incarnation, clock, log} = options;
	const view: StoreView = new StoreView({
		...options,
		prefix: '',
		comparator: makeItemComparator(options.source),
		waitMs: viewWaitMs,
		maximumBackoffMs,
		log: log.view,
		onLateChange() {
			mesh.reportNow();
		},
		onChange(now) {
			readRegistered();
			noteFirstRead();
			fleet.refresh(now);
			mesh.addPeers(registered.map(entry => entry.address));
			options.onChange?.(view, now);
		},
	});
	const fleet = new FleetState({...options, view, log: log.fleet});
	const hello = (): LinkMessage => ({
		type: 'hello', protocol: linkProtocolVersion, id, role: 'entry', availabilityZone, incarnation, tableVersion: 0,
	});
	const fleetStart = new FleetStart(clock());
	const mesh = new EntryMesh({
		...options,
		hello,
		view,
		getConfigurationVersion: () => fleet.table?.version ?? 0,
		getDigest: (isFull, now) => ({...options.getDigest(isFull, now), ...(fleetStart.isReported(now) && {isNewFleet: true})}),
		onDigest(peer, digest, isSameZone, now) {
			fleetStart.notePeer(peer, digest.isNewFleet ?? false);
			options.onDigest(peer, digest, isSameZone, now);
		},
		onSilence(reason, since) {
			view.noteSilence(reason);
			options.onSilentLink?.(since);
		},
		log: log.view,
	});
	let registered: ReturnType<typeof entryRegistrations.read> = [];
	const registrationProblems = new ProblemLog(problem => {
		log.entry(`registration of an entry not accepted: ${problem}`);
	});
	const readRegistered = (): void => {
		const problems: string[] = [];
		registered = entryRegistrations.read(view.list(entryRegistrations.prefix), problem => {
			problems.push(problem);
		});
		registrationProblems.update(problems);
	};

	/* A peer's view does not show what the store held before this process registered. */
	const noteFirstRead = (): void => {
		if (view.isLoaded && !mesh.hasReceivedView) {
			fleetStart.noteFirstRead({era: view.asOf.era, registered: registered.map(entry => entry.id)});
		}
	};

	const key = entryRegistrations.getKey(id);
	const registration = new Registration({
		...options, key, value: address, log: log.entry,
	});
	/* When a configuration was first known, milliseconds; and whether a peer's view has been compared, or waited for in vain. */
	let configuredAt: number | undefined;
	let hasComparedView = false;
	const hasWaitedForPeers = (now: number): boolean => {
		configuredAt ??= now;
		hasComparedView ||= mesh.hasReceivedView || now - configuredAt >= peerViewWaitMs;
		return hasComparedView;
	};

	return {
		view,
		fleet,
		mesh,
		getTable: now => fleet.table && hasWaitedForPeers(now) ? fleet.table : undefined,
		countRegistered: () => registered.length,
		isNewFleet: () => fleetStart.isNew,
		start(seeds) {
			mesh.addPeers(seeds);
			runGuarded(log.view, 'following of the store', async () => view.run());
		},
		tick(now) {
			mesh.tick();
			view.tick(now);
			fleet.tick(now);
			// Registers only after the first read of the store, which would otherwise show this process as one that ended.
			if (view.isLoaded) {
				runGuarded(log.entry, 'registration', async () => registration.tick(now, {era: view.asOf.era, item: view.getStored(key)}));
			}
		},
		close() {
			view.close();
			mesh.close();
		},
	};
}
