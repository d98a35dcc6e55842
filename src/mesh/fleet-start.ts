/** What the store held when this process first read it. */
type FirstRead = {
	readonly era: number;
	/** Ids of the entries that were registered. */
	readonly registered: readonly string[];
};

/** Time after its start for which a process tells its peers that the fleet is new, milliseconds: all VMs of a new fleet start within it. */
const reportMs = 10_000;

/**
 * Determines whether all entries have started for the first time, so that no earlier process can have used what they share over a window.
 * A process that ended has left its registration in the store, where it stays for minutes; a store that was restored may have lost it.
 */
export class FleetStart {
	private firstRead: FirstRead | undefined;
	private isKnownNew = false;
	private readonly newPeers = new Set<string>();

	/** @param startedAt - when this process started, milliseconds */
	constructor(private readonly startedAt: number) {}

	/** Whether all entries have started for the first time, as far as known. */
	get isNew(): boolean {
		const {firstRead, newPeers} = this;
		this.isKnownNew ||= firstRead?.era === 0 && firstRead.registered.every(id => newPeers.has(id));
		return this.isKnownNew;
	}

	/** Whether to tell peers that all entries have started for the first time; not later on, when peers may join that have replaced others. */
	isReported(now: number): boolean {
		return this.isNew && now - this.startedAt < reportMs;
	}

	/** Records the first read of the store, from before this process registered. */
	noteFirstRead(read: FirstRead): void {
		this.firstRead ??= read;
	}

	/** Records whether a peer reports that all entries have started for the first time. */
	notePeer(id: string, isNew: boolean): void {
		if (isNew) {
			this.newPeers.add(id);
		} else {
			this.newPeers.delete(id);
		}
	}
}
