import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {PersistentLink} from '../link/persistent-link.js';
import {type StoreView} from '../view/store-view.js';
import {isLater} from '../key-value/is-later.js';
import {type Revision} from '../key-value/revision.js';
import {runGuarded} from '../log/run-guarded.js';
import {type EntryDigest} from './entry-digest.js';

type MeshOptions = {
	readonly id: string;
	/** Address and port of this entry's links; peers are identified by theirs. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly hello: () => LinkMessage;
	readonly view: StoreView;
	/** Version of the configuration in use at this entry; 0 when there is none. */
	readonly getConfigurationVersion: () => number;
	/** Requests in flight of this entry and its peers. */
	readonly inFlightCounts: InFlightCounts;
	/** Gets what is reported to peers on targets and requests; `isFull` for a peer that may not have received any report yet. */
	readonly getDigest: (isFull: boolean, now: number) => EntryDigest;
	/** Called with the digest in each report of a peer; `isSameZone`: the peer is in this entry's availability zone. */
	readonly onDigest: (peer: string, digest: EntryDigest, isSameZone: boolean, now: number) => void;
	/**
	 * Called when a link has become silent: other connections opened before may be silent as well.
	 *
	 * @param since - when something was last received on it, milliseconds
	 */
	readonly onSilence: (reason: string, since: number) => void;
	/** Called with messages that do not concern the mesh itself; `send` answers on the same link. */
	readonly onMessage: (message: LinkMessage, send: (message: LinkMessage) => boolean) => void;
	readonly clock: () => number;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** A peer. Times in milliseconds. */
type Peer = {
	/** Link that this entry has opened: its reports go out on it, those of the peer come in on the peer's own. */
	readonly link: PersistentLink;
	openedAt: number;
	/** When something was last received, or the link opened or cut. */
	lastSeenAt: number;
	/** When the peer's last report was received. */
	reportedAt: number;
	isSilent: boolean;
	/** Unknown until the first report. */
	availabilityZone: string | undefined;
};

/**
 * Minimum interval between two reports of requests in flight, milliseconds: for each peer, so that a burst costs the same regardless
 * of their number, and its upper bound, since the counts change many times per second.
 */
const reportMsPerPeer = 10;
const maximumReportMs = 200;
/**
 * Minimum interval between two reports to peers in other zones, milliseconds. Counts of other zones only matter when the own zone
 * is full, which lasts for a second or two; with 32 entries in three zones, two thirds of all reports go to other zones.
 */
const remoteZoneReportMs = 750;
/** Maximum interval between two reports, milliseconds; it serves as a heartbeat. */
const heartbeatMs = 500;
/**
 * Interval between two reports that list the known peers, milliseconds. The first report on each link lists them too, so that an
 * entry that starts while the store is down learns of all peers at once. With 32 entries the list is larger than the rest of a report.
 */
const peerListMs = 10_000;
/** A link on which nothing was received for this time is silent: even peers in other zones report more often, milliseconds. */
const silenceMs = 1000;
/** A link on which nothing was received for this time is cut and reopened, milliseconds. */
const linkTimeoutMs = 1500;
/** Maximum backoff between attempts to open a link, milliseconds. */
const maximumBackoffMs = 800;
/** Open links needed to distinguish silent connections of this process from silent peers. */
const minimumLinks = 2;
/** Minimum interval between two requests for a peer's view, milliseconds. */
const viewRequestMs = 300;
/** Minimum interval between two requests for the same version of a configuration, milliseconds. */
const configurationRetryMs = 5000;
/** Precedes every revision that a view may have. */
const zeroRevision: Revision = {era: 0, number: 0};

/**
 * Links between entries. Each entry reports its requests in flight to the others, so that all choose targets by the same counts,
 * and the revision and age of its view of the store, so that an entry that has lost the store can take a peer's view.
 */
export class EntryMesh {
	private readonly peers = new Map<string, Peer>();
	private sentAt = 0;
	private peerListSentAt = 0;
	private remoteZoneReportedAt = 0;
	private lastSummary = '';
	private timer: NodeJS.Timeout | undefined;
	private viewRequestedAt = Number.NEGATIVE_INFINITY;
	private hasPeerSnapshot = false;
	/** Version of a peer's configuration that was requested last, and when, milliseconds. */
	private lastConfigurationRequest = {configurationVersion: 0, at: Number.NEGATIVE_INFINITY};

	constructor(private readonly options: MeshOptions) {}

	/** Opens links to the entries at these addresses that are not known yet. */
	addPeers(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.options.address && !this.peers.has(address)) {
				this.open(address);
			}
		}
	}

	/** Sends a report if something has changed or a heartbeat is due, and cuts links that have timed out. */
	tick(): void {
		const now = this.options.clock();
		this.report(now);
		for (const [address, peer] of this.peers) {
			this.checkSilence(address, peer, now);
			if (peer.link.current && now - peer.lastSeenAt > linkTimeoutMs) {
				this.options.log(`link to ${address} is cut: nothing received for ${Math.round(now - peer.lastSeenAt)} ms`);
				peer.lastSeenAt = now;
				peer.link.disconnect();
			}
		}
	}

	/** Sends a report to all peers at once, in every zone, for changes that cannot wait. */
	reportNow(): void {
		this.remoteZoneReportedAt = Number.NEGATIVE_INFINITY;
		this.report(this.options.clock());
	}

	/** Schedules a report of a change, within the minimum interval. */
	reportSoon(): void {
		const now = this.options.clock();
		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			runGuarded(this.options.log, 'report to peers', () => {
				this.report(this.options.clock());
			});
		}, Math.max(0, this.sentAt + Math.min(maximumReportMs, reportMsPerPeer * this.peers.size) - now));
	}

	/** Addresses of the peers whose link is open and has not timed out. */
	listLivePeers(now: number): string[] {
		return [...this.peers].filter(([, {link, lastSeenAt}]) => link.current !== undefined && now - lastSeenAt <= linkTimeoutMs).map(([address]) => address);
	}

	/** Number of open links on which nothing has arrived for longer than reports may take. */
	countSilentLinks(now: number): number {
		return [...this.peers.values()].filter(peer => this.isSilent(peer, now)).length;
	}

	/**
	 * When a report was last received from any peer, milliseconds. Undefined with fewer than two open links: the silence of a single one
	 * may be the peer's.
	 */
	get lastReportAt(): number | undefined {
		const linked = [...this.peers.values()].filter(({link}) => link.current !== undefined);
		return linked.length < minimumLinks ? undefined : Math.max(...linked.map(peer => peer.reportedAt));
	}

	/** Whether a peer has sent its view since the start. */
	get hasReceivedView(): boolean {
		return this.hasPeerSnapshot;
	}

	/** Sends a peer a message; false when there is no link to it. */
	send(address: string, message: LinkMessage): boolean {
		return this.peers.get(address)?.link.current?.send(message) ?? false;
	}

	/** Handles a peer's message; `send` answers on the same link. */
	receive(message: LinkMessage, send: (message: LinkMessage) => boolean): void {
		switch (message.type) {
			case 'entry-load': {
				this.receiveLoad(message, send);
				break;
			}

			case 'view-wanted': {
				const {view, clock} = this.options;
				if (isLater(view.asOf, message.after)) {
					send({type: 'view-offered', view: view.getSnapshot(clock())});
				}

				break;
			}

			case 'view-offered': {
				this.hasPeerSnapshot = true;
				if (this.options.view.mergeSnapshot(message.view)) {
					const {era, number} = message.view.asOf;
					this.options.log(`using a peer's view of era ${era} revision ${number}`);
				}

				break;
			}

			default: {
				this.options.onMessage(message, send);
			}
		}
	}

	close(): void {
		clearTimeout(this.timer);
		for (const {link} of this.peers.values()) {
			link.close();
		}
	}

	/* Whether the own link to a peer is silent shows only in the reports of that peer, which receives nothing on it. */
	private reopenIfUnheard({address, unheard}: MessageOf<'entry-load'>, peer: Peer, now: number): void {
		if (unheard?.includes(this.options.address) && peer.link.current && now - peer.openedAt > linkTimeoutMs) {
			this.options.log(`link to ${address} is cut: the peer receives nothing on it`);
			peer.link.disconnect();
		}
	}

	/* Addresses of the peers that can be reached, but from which no report arrives. */
	private listUnheard(now: number): string[] {
		return [...this.peers]
			.filter(([, {link, reportedAt}]) => link.current !== undefined && now - reportedAt > silenceMs)
			.map(([address]) => address);
	}

	private isSilent({link, lastSeenAt}: Peer, now: number): boolean {
		return link.current !== undefined && now - lastSeenAt > silenceMs;
	}

	private checkSilence(address: string, peer: Peer, now: number): void {
		const wasSilent = peer.isSilent;
		peer.isSilent = this.isSilent(peer, now);
		if (peer.isSilent && !wasSilent) {
			this.options.onSilence(`nothing received on the link to ${address} for ${Math.round(now - peer.lastSeenAt)} ms`, peer.lastSeenAt);
		}
	}

	private open(address: string): void {
		const {connect, hello, clock, random, log} = this.options;
		let isOpen = false;
		const peer: Peer = {
			openedAt: clock(),
			lastSeenAt: clock(),
			reportedAt: clock(),
			isSilent: false,
			availabilityZone: undefined,
			link: new PersistentLink({
				connect: async () => connect(address),
				random,
				maximumDelayMs: maximumBackoffMs,
				onLost(message) {
					if (isOpen) {
						isOpen = false;
						log(`link to ${address} is lost: ${message}`);
					}

					peer.lastSeenAt = clock();
				},
				onOpen: connection => {
					isOpen = true;
					peer.openedAt = clock();
					peer.lastSeenAt = clock();
					connection.onMessage(message => {
						peer.lastSeenAt = clock();
						this.receive(message, reply => connection.send(reply));
					});
					connection.send(hello());
					connection.send(this.makeReport(true));
				},
			}),
		};
		this.peers.set(address, peer);
	}

	private receiveLoad(message: MessageOf<'entry-load'>, send: (message: LinkMessage) => boolean): void {
		const {inFlightCounts, view, clock, availabilityZone, onDigest} = this.options;
		const now = clock();
		inFlightCounts.merge(message.id, message.inFlight, now);
		onDigest(message.id, message, message.availabilityZone === availabilityZone, now);
		this.addPeers([message.address, ...message.peers ?? []]);
		const peer = this.peers.get(message.address);
		if (peer) {
			peer.lastSeenAt = now;
			peer.reportedAt = now;
			peer.availabilityZone = message.availabilityZone;
			this.reopenIfUnheard(message, peer, now);
		}

		view.noteEra(message.viewRevision.era);
		view.notePeerAge(message.viewAgeMs, now);
		const after = this.findWantedRevision(message, now);
		if (after && now - this.viewRequestedAt >= viewRequestMs) {
			this.viewRequestedAt = now;
			send({type: 'view-wanted', after});
		}
	}

	/* The revision after which a peer's view is requested; undefined when it is not needed. */
	private findWantedRevision({viewRevision, viewAgeMs, configurationVersion}: MessageOf<'entry-load'>, now: number): Revision | undefined {
		const {view, getConfigurationVersion} = this.options;
		// While the store is reachable, changes usually arrive sooner from it than from a peer.
		if (isLater(viewRevision, view.asOf)) {
			const isStale = view.isStoreUnavailable || !view.isLoaded || view.getAge(now) > viewAgeMs + heartbeatMs;
			return isStale ? view.asOf : undefined;
		}

		// A store that was restored from a backup may have less than a peer knows, which an entry that has just started cannot detect.
		const isFirstSnapshot = viewRevision.number > 0 && !this.hasPeerSnapshot;
		const isOutdated = configurationVersion > getConfigurationVersion() && this.mayRequestConfiguration(configurationVersion, now);
		return isFirstSnapshot || isOutdated || view.hasPresumed ? zeroRevision : undefined;
	}

	/* Limits repeated requests for a configuration that this entry cannot use, though a peer can. */
	private mayRequestConfiguration(configurationVersion: number, now: number): boolean {
		if (configurationVersion <= this.lastConfigurationRequest.configurationVersion && now - this.lastConfigurationRequest.at < configurationRetryMs) {
			return false;
		}

		this.lastConfigurationRequest = {configurationVersion, at: now};
		return true;
	}

	private report(now: number): void {
		const includesPeers = now - this.peerListSentAt >= peerListMs;
		const {inFlightCounts, view, getConfigurationVersion, getDigest} = this.options;
		const digest = getDigest(false, now);
		// The age of a limit, and which groups are active, vary all the time; they do not count as changes.
		const summary = JSON.stringify([inFlightCounts.getOwnCounts(), view.asOf, getConfigurationVersion(), {...digest, active: undefined, limits: digest.limits?.map(({agoMs, ...limit}) => limit)}]);
		const isOwnZoneDue = summary !== this.lastSummary || now - this.sentAt >= heartbeatMs;
		const isRemoteZoneDue = now - this.remoteZoneReportedAt >= remoteZoneReportMs;
		if (!isOwnZoneDue && !isRemoteZoneDue) {
			return;
		}

		this.lastSummary = summary;
		this.sentAt = isOwnZoneDue ? now : this.sentAt;
		this.peerListSentAt = includesPeers ? now : this.peerListSentAt;
		const report = this.makeReport(includesPeers);
		this.remoteZoneReportedAt = isRemoteZoneDue ? now : this.remoteZoneReportedAt;
		for (const {link, availabilityZone} of this.peers.values()) {
			const isSameZone = availabilityZone === undefined || availabilityZone === this.options.availabilityZone;
			if (isSameZone ? isOwnZoneDue : isRemoteZoneDue) {
				link.current?.send(report);
			}
		}
	}

	private makeReport(includesPeers: boolean): MessageOf<'entry-load'> {
		const {id, address, availabilityZone, inFlightCounts, view, getConfigurationVersion, clock, getDigest} = this.options;
		const now = clock();
		const unheard = this.listUnheard(now);
		return {
			type: 'entry-load',
			id,
			address,
			availabilityZone,
			viewRevision: view.asOf,
			configurationVersion: getConfigurationVersion(),
			viewAgeMs: Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, Math.round(view.getAge(now)))),
			inFlight: inFlightCounts.getOwnCounts(),
			...getDigest(includesPeers, now),
			...(includesPeers && {peers: [...this.peers.keys()]}),
			...(unheard.length > 0 && {unheard}),
		};
	}
}
