/** This entry's requests at a target. Times in milliseconds. */
type OwnLoad = {requests: number; lastProgressAt: number; lastStartAt: number};
/** A peer's latest report: its requests in flight by target. Time in milliseconds. */
type PeerLoad = {readonly at: number; readonly inFlight: Readonly<Record<string, number>>};

/** Lifetime of a peer's counts after its last report, milliseconds; streams last a few seconds. */
const peerCountsLifetimeMs = 3000;

/** Requests in flight at each target: exact counts of this entry, and the latest reported counts of its peers. */
export class InFlightCounts {
	private readonly own = new Map<string, OwnLoad>();
	private readonly peers = new Map<string, PeerLoad>();

	/** @param onChange - called when this entry's own counts change */
	constructor(private readonly onChange: () => void = () => undefined) {}

	/** Counts a request that is sent to a target. */
	noteStart(target: string, now: number): void {
		const load = this.own.get(target) ?? {requests: 0, lastProgressAt: now, lastStartAt: now};
		if (load.requests === 0) {
			load.lastProgressAt = now;
		}

		load.requests++;
		load.lastStartAt = now;
		this.own.set(target, load);
		this.onChange();
	}

	/** Notes that a target has sent part of an answer. */
	noteProgress(target: string, now: number): void {
		const load = this.own.get(target);
		if (load) {
			load.lastProgressAt = now;
		}
	}

	/** Notes the end of a request. */
	noteEnd(target: string): void {
		const load = this.own.get(target);
		if (load) {
			load.requests--;
			this.onChange();
		}
	}

	/** Time since a target with requests of this entry last sent anything, milliseconds; 0 when it has no such requests. */
	getSilenceMs(target: string, now: number): number {
		const load = this.own.get(target);
		return load && load.requests > 0 ? now - load.lastProgressAt : 0;
	}

	/** Replaces a peer's counts. */
	merge(peer: string, inFlight: Readonly<Record<string, number>>, now: number): void {
		this.peers.set(peer, {at: now, inFlight});
	}

	/** Requests in flight at a target, summed over all entries. */
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

	/** Number of peers whose counts have not expired. */
	countLivePeers(now: number): number {
		return [...this.peers.values()].filter(({at}) => now - at <= peerCountsLifetimeMs).length;
	}

	/** This entry's requests in flight by target, as reported to peers. */
	getOwnCounts(): Record<string, number> {
		const inFlight: Record<string, number> = {};
		for (const [target, {requests}] of this.own) {
			if (requests > 0) {
				inFlight[target] = requests;
			}
		}

		return inFlight;
	}

	/** Removes targets that are no longer registered and have no requests. */
	prune(isKnown: (target: string) => boolean): void {
		for (const [target, {requests}] of this.own) {
			if (requests === 0 && !isKnown(target)) {
				this.own.delete(target);
			}
		}
	}
}
