import {type LoadBoard} from '../balance/load-board.js';
import {type LinkConnection} from '../link/link-connection.js';
import {type LinkMessage} from '../link/link-message.js';
import {type MessageOf} from '../link/message-of.js';
import {PersistentLink} from '../link/persistent-link.js';
import {type StoreView} from '../view/store-view.js';
import {isLater} from '../key-value/is-later.js';
import {type Revision} from '../key-value/revision.js';
import {type EntryDigest} from './entry-digest.js';

type MeshOptions = {
	readonly id: string;
	/** Address and port of this entry's links; peers are named by theirs. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly connect: (address: string) => Promise<LinkConnection>;
	readonly hello: () => LinkMessage;
	readonly view: StoreView;
	/** Version of the configuration in force at this entry; 0 while none is. */
	readonly getConfigurationVersion: () => number;
	readonly board: LoadBoard;
	/** What peers are told of targets and requests; all of it where the peer may have heard nothing yet. */
	readonly getDigest: (isWhole: boolean, now: number) => EntryDigest;
	/** Told of what a peer tells, at each of its reports, and whether it is in the same zone. */
	readonly onDigest: (peer: string, digest: EntryDigest, isNear: boolean, now: number) => void;
	/** Told of messages that are not about the peers themselves; `send` answers on the same link. */
	readonly onMessage: (message: LinkMessage, send: (message: LinkMessage) => boolean) => void;
	readonly clock: () => number;
	readonly random: () => number;
	readonly log: (message: string) => void;
};

/** A peer, in a zone that is not known before it was heard. */
type Peer = {readonly link: PersistentLink; heardAt: number; availabilityZone: string | undefined};

/**
 * Least time between two reports of what is in flight, milliseconds: for each peer, so that a burst costs the same
 * whatever their number, and at most: what is in flight at a target changes many times a second.
 */
const reportMsPerPeer = 10;
const mostReportMs = 200;
/**
 * Least time between two reports to peers in other zones, milliseconds. What is in flight there is used where the own zone
 * is full, and lasts for a second or two; with 32 entries in three zones two thirds of all reports go to other zones.
 */
const farReportMs = 700;
/** Longest time between two reports, milliseconds: peers tell a quiet entry from a lost one by it. */
const quietMs = 500;
/**
 * Time between two reports that name the peers known, milliseconds. Each new link begins with one, so that an entry that
 * starts while the store is down hears of all at once; with 32 entries they are larger than all else that is reported.
 */
const peersMs = 10_000;
/** A link on which a peer was not heard for so long is cut and opened anew, milliseconds. */
const lostMs = 1500;
const maximumDelayMs = 800;
/** Time between two questions for a peer's view, milliseconds. */
const wantedMs = 300;
/** The same for a configuration that was asked for before. */
const askAgainMs = 5000;
/** Before all that a view may be of. */
const anyRevision: Revision = {era: 0, number: 0};

/**
 * The entries' links to each other. Each tells the others what it has in flight, so that all choose targets by the
 * same counts, and how current its view of the store is, so that one cut off from the store can take a peer's.
 */
export class EntryMesh {
	private readonly peers = new Map<string, Peer>();
	private reportedAt = 0;
	private peersToldAt = 0;
	private farReportedAt = 0;
	private lastReport = '';
	private timer: NodeJS.Timeout | undefined;
	private wantedAt = Number.NEGATIVE_INFINITY;
	private hasPeerView = false;
	/** Version of a peer's configuration that was asked for last, and when, milliseconds. */
	private asked = {configurationVersion: 0, at: Number.NEGATIVE_INFINITY};

	constructor(private readonly options: MeshOptions) {}

	/** Opens links to entries that are not known yet. */
	meet(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.options.address && !this.peers.has(address)) {
				this.open(address);
			}
		}
	}

	/** Reports what changed, and cuts links that have gone silent. */
	tick(): void {
		const now = this.options.clock();
		this.report(now);
		for (const peer of this.peers.values()) {
			if (peer.link.current && now - peer.heardAt > lostMs) {
				peer.heardAt = now;
				peer.link.disconnect();
			}
		}
	}

	/** Reports to all peers, in whatever zone, what cannot wait. */
	reportNow(): void {
		this.farReportedAt = Number.NEGATIVE_INFINITY;
		this.report(this.options.clock());
	}

	/** Reports soon what has just changed. */
	reportSoon(): void {
		const now = this.options.clock();
		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.report(this.options.clock());
		}, Math.max(0, this.reportedAt + Math.min(mostReportMs, reportMsPerPeer * this.peers.size) - now));
	}

	/** Addresses of peers that are heard now. */
	listHeard(now: number): string[] {
		return [...this.peers].filter(([, {link, heardAt}]) => link.current !== undefined && now - heardAt <= lostMs).map(([address]) => address);
	}

	/** Whether a peer has passed on its view since the start. */
	get hasHeardView(): boolean {
		return this.hasPeerView;
	}

	/** Sends a peer a message; false when there is no link to it. */
	send(address: string, message: LinkMessage): boolean {
		return this.peers.get(address)?.link.current?.send(message) ?? false;
	}

	/** Handles a message of a peer; `send` answers on the same link. */
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
				this.hasPeerView = true;
				if (this.options.view.takeSnapshot(message.view)) {
					const {era, number} = message.view.asOf;
					this.options.log(`took a peer's view of era ${era} revision ${number}`);
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

	private open(address: string): void {
		const {connect, hello, clock, random} = this.options;
		const peer: Peer = {
			heardAt: clock(),
			availabilityZone: undefined,
			link: new PersistentLink({
				connect: async () => connect(address),
				random,
				maximumDelayMs,
				onLost() {
					peer.heardAt = clock();
				},
				onOpen: connection => {
					peer.heardAt = clock();
					connection.onMessage(message => {
						peer.heardAt = clock();
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
		const {board, view, clock, availabilityZone, onDigest} = this.options;
		const now = clock();
		board.merge(message.id, message.inFlight, now);
		onDigest(message.id, message, message.availabilityZone === availabilityZone, now);
		this.meet([message.address, ...message.peers ?? []]);
		const peer = this.peers.get(message.address);
		if (peer) {
			peer.heardAt = now;
			peer.availabilityZone = message.availabilityZone;
		}

		view.noteEra(message.viewRevision.era);
		const after = this.chooseWanted(message, now);
		if (after && now - this.wantedAt >= wantedMs) {
			this.wantedAt = now;
			send({type: 'view-wanted', after});
		}
	}

	/* The revision after which a peer's view is wanted; undefined when it is not. */
	private chooseWanted({viewRevision, viewAgeMs, configurationVersion}: MessageOf<'entry-load'>, now: number): Revision | undefined {
		const {view, getConfigurationVersion} = this.options;
		// With the store in reach, the own wait brings a change sooner than a peer, as a rule.
		if (isLater(viewRevision, view.asOf)) {
			const isStale = view.isCutOff || !view.isKnown || view.getAge(now) > viewAgeMs + quietMs;
			return isStale ? view.asOf : undefined;
		}

		// A store that has come back from a copy may have less than a peer knows, which an entry that has just started cannot tell.
		const isFirst = viewRevision.number > 0 && !this.hasPeerView;
		const hasLess = configurationVersion > getConfigurationVersion() && this.mayAsk(configurationVersion, now);
		return isFirst || hasLess ? anyRevision : undefined;
	}

	/* A configuration that this entry cannot use is not asked for at each report of a peer that can. */
	private mayAsk(configurationVersion: number, now: number): boolean {
		if (configurationVersion <= this.asked.configurationVersion && now - this.asked.at < askAgainMs) {
			return false;
		}

		this.asked = {configurationVersion, at: now};
		return true;
	}

	private report(now: number): void {
		const namesPeers = now - this.peersToldAt >= peersMs;
		const {board, view, getConfigurationVersion, getDigest} = this.options;
		const news = getDigest(false, now);
		// How old a digest's limit is grows with time, and is no change.
		const summary = JSON.stringify([board.getOwn(), view.asOf, getConfigurationVersion(), {...news, limits: news.limits?.map(({agoMs, ...limit}) => limit)}]);
		if (summary === this.lastReport && now - this.reportedAt < quietMs) {
			return;
		}

		this.lastReport = summary;
		this.reportedAt = now;
		this.peersToldAt = namesPeers ? now : this.peersToldAt;
		const report = this.makeReport(namesPeers);
		const isFarDue = now - this.farReportedAt >= farReportMs;
		this.farReportedAt = isFarDue ? now : this.farReportedAt;
		for (const {link, availabilityZone} of this.peers.values()) {
			const isNear = availabilityZone === undefined || availabilityZone === this.options.availabilityZone;
			if (isNear || isFarDue) {
				link.current?.send(report);
			}
		}
	}

	private makeReport(namesPeers: boolean): MessageOf<'entry-load'> {
		const {id, address, availabilityZone, board, view, getConfigurationVersion, clock, getDigest} = this.options;
		const now = clock();
		return {
			type: 'entry-load',
			id,
			address,
			availabilityZone,
			viewRevision: view.asOf,
			configurationVersion: getConfigurationVersion(),
			viewAgeMs: Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, Math.round(view.getAge(now)))),
			inFlight: board.getOwn(),
			...getDigest(namesPeers, now),
			...(namesPeers && {peers: [...this.peers.keys()]}),
		};
	}
}
