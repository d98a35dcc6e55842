import {CrashSuspects} from '../balance/crash-suspects.js';
import {type LostRequest} from '../balance/lost-request.js';
import {LostRequests} from '../balance/lost-requests.js';
import {type TargetHealth} from '../balance/target-health.js';
import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type TargetTransport} from './target-transport.js';

/** Most requests that the log line on a crash names; a target runs few more. */
const maximumDescribed = 12;

type Lost = Extract<SendOutcome, {kind: 'lost'}>;

type DetectorOptions = {
	/** Checks whether a process listens at a target's address. */
	readonly check: TargetTransport['check'];
	readonly health: TargetHealth;
	/** Whether this entry is the one, among the live entries, that may send a request with this fingerprint as a probe. */
	readonly isElected: (fingerprint: string, now: number) => boolean;
	/** Called when a crash has been found that peers must be notified of at once. */
	readonly onCrashFound: (target: string) => void;
	readonly clock: () => number;
	readonly log: (message: string) => void;
};

const describe = ({id, fingerprint, promptParts, answeringMs}: LostRequest): string => {
	const progress = answeringMs === undefined ? 'not answered' : `answered for ${Math.round(answeringMs)} ms`;
	return `${id ?? '-'} (${fingerprint}, prompt ${promptParts.join(' ') || '-'}, ${progress})`;
};

/**
 * Distinguishes crashed targets from lost connections, and blocks the requests that crash targets. A cut link, a frozen
 * VM or a target that breaks answers off is no crash: after a crash the VM refuses connections, or the target registers
 * again with a later time of birth.
 */
export class CrashDetector {
	readonly suspects: CrashSuspects;
	private readonly lostRequests = new LostRequests();
	/** Targets being checked. */
	private readonly checking = new Set<string>();

	constructor(private readonly options: DetectorOptions) {
		this.suspects = new CrashSuspects(options.log);
	}

	/** Time for which a request stays blocked because targets crashed while running it, milliseconds; 0 when it may be sent. */
	getBlockMs({fingerprint}: ForwardExchange, now: number): number {
		return this.suspects.getBlockMs(fingerprint, () => this.options.isElected(fingerprint, now), now);
	}

	/** Notes that a target has answered a request completely. */
	noteAnswered({fingerprint}: ForwardExchange): void {
		this.suspects.noteAnswered(fingerprint, this.options.clock());
	}

	/** Notes that a request was lost at a target, and checks the target if its connection was closed. */
	noteLost({fingerprint, metadata: {id, promptParts}}: ForwardExchange, target: Target, {isConnectionClosed, answeringMs}: Lost): void {
		this.lostRequests.add({
			id, fingerprint, promptParts, incarnation: target, answeringMs,
		}, this.options.clock());
		if (isConnectionClosed && !this.checking.has(target.id)) {
			void this.checkTarget(target);
		}
	}

	/** Notes that a target has restarted under its id. */
	noteRestart(target: string): void {
		this.reportCrash(target);
	}

	private async checkTarget(target: Target): Promise<void> {
		const {check, health, clock, log} = this.options;
		this.checking.add(target.id);
		const listenerState = await check(target);
		this.checking.delete(target.id);
		if (listenerState !== 'refuses') {
			return;
		}

		log(`target ${target.id} of ${target.service} has crashed: it closed its connections and no process listens at its address`);
		health.noteUnreachable(target.id, clock());
		this.reportCrash(target.id);
	}

	private reportCrash(target: string): void {
		const {clock, onCrashFound, log} = this.options;
		const now = clock();
		const lost = this.lostRequests.take(target, now);
		if (lost.length === 0) {
			return;
		}

		const described = lost.slice(0, maximumDescribed).map(request => describe(request)).join(', ');
		log(`crash of target ${target}: ${lost.length} requests lost: ${described}`);
		this.suspects.noteCrash(lost, now);
		onCrashFound(target);
	}
}
