type OwnLoad = {requests: number; lastProgressAt: number; lastStartAt: number};
type PeerLoad = {readonly at: number; readonly inFlight: Readonly<Record<string, number>>};

/** What a peer said of its requests counts for so long after it was heard last, milliseconds; streams last a few seconds. */
const peerCountsLifetimeMs = 3000;

/** Requests in flight at each target: this entry's own, exactly, and those of its peers as last heard. */
export class InFlightCounts {
	private readonly own = new Map<string, OwnLoad>();
	private readonly peers = new Map<string, PeerLoad>();

	/** @param onChange - called when this entry's own counts change */
	constructor(private readonly onChange: () => void = () => undefined) {}

	/** Notes a request that is sent to a target. */
	noteStart(target: string, now: number): void {
		const entry = this.own.get(target) ?? {requests: 0, lastProgressAt: now, lastStartAt: now};
		if (entry.requests === 0) {
			entry.lastProgressAt = now;
		}

		entry.requests++;
		entry.lastStartAt = now;
		this.own.set(target, entry);
		this.onChange();
	}

	/** Notes that the target sent something. */
	noteProgress(target: string, now: number): void {
		const entry = this.own.get(target);
		if (entry) {
			entry.lastProgressAt = now;
		}
	}

	/** Notes the end of a request. */
	noteEnd(target: string): void {
		const entry = this.own.get(target);
		if (entry) {
			entry.requests--;
			this.onChange();
		}
	}

	/** Milliseconds for which a target with requests of this entry has sent nothing; 0 when it has none. */
	getSilenceMs(target: string, now: number): number {
		const entry = this.own.get(target);
		return entry && entry.requests > 0 ? now - entry.lastProgressAt : 0;
	}

	/** Takes what a peer has in flight. */
	merge(peer: string, inFlight: Readonly<Record<string, number>>, now: number): void {
		this.peers.set(peer, {at: now, inFlight});
	}

	/** Requests in flight at a target, over all entries. */
	count(target: string, now: number): number {
		let requests = this.own.get(target)?.requests ?? 0;
		for (const [peer, {at, inFlight}] of this.peers) {
			if (now - at > peerCountsLifetimeMs) {
				this.peers.delete(peer);
			} else {
				requests += inFlight[target] ?? 0;
			}
		}

		return requests;
	}

	/** Peers that were heard lately. */
	countLivePeers(now: number): number {
		return [...this.peers.values()].filter(({at}) => now - at <= peerCountsLifetimeMs).length;
	}

	/** This entry's own requests by target, for its peers. */
	getOwnCounts(): Record<string, number> {
		const inFlight: Record<string, number> = {};
		for (const [target, {requests}] of this.own) {
			if (requests > 0) {
				inFlight[target] = requests;
			}
		}

		return inFlight;
	}

	/** Forgets targets that are gone and have no requests. */
	prune(isKnown: (target: string) => boolean): void {
		for (const [target, {requests}] of this.own) {
			if (requests === 0 && !isKnown(target)) {
				this.own.delete(target);
			}
		}
	}
}
