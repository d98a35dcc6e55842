import {CrashSuspects} from '../balance/crash-suspects.js';
import {type TargetHealth} from '../balance/target-health.js';
import {type Target} from '../fleet/target.js';
import {type ForwardExchange} from './forward-exchange.js';
import {type SendOutcome} from './send-outcome.js';
import {type TargetTransport} from './target-transport.js';

/**
 * A request that crashes its targets does so as it begins to run; what has been answered for longer met the crash, milliseconds.
 */
const beginMs = 100;

type Lost = Extract<SendOutcome, {kind: 'lost'}>;

type WatchOptions = {
	/** Looks whether anybody listens at a target's address. */
	readonly check: TargetTransport['check'];
	readonly health: TargetHealth;
	/** Whether it is for this entry, among those that are heard, to see how something stands. */
	readonly isElected: (key: string, now: number) => boolean;
	/** Called when peers should hear at once what has been found. */
	readonly onCrashFound: () => void;
	readonly clock: () => number;
	readonly log: (message: string) => void;
};

/**
 * Tells targets that crash from connections that are lost, and refuses the requests that crash them. A cut link, a frozen VM and a
 * target that breaks answers off are no crash: where one has crashed, its VM says that nobody listens, or it registers a new life.
 */
export class CrashDetector {
	readonly suspects: CrashSuspects;
	/** Targets that are being looked at. */
	private readonly checked = new Set<string>();

	constructor(private readonly options: WatchOptions) {
		this.suspects = new CrashSuspects(options.log);
	}

	/** Milliseconds for which a request is refused now, since targets have crashed as they ran it; 0 when it may be sent. */
	getBlockMs({fingerprint}: ForwardExchange, now: number): number {
		return this.suspects.getBlockMs(fingerprint, () => this.options.isElected(fingerprint, now), now);
	}

	/** Notes that a target has answered a request to its end. */
	noteAnswered({fingerprint}: ForwardExchange): void {
		this.suspects.noteAnswered(fingerprint, this.options.clock());
	}

	/** Notes that a request was lost at a target. */
	noteLost({fingerprint}: ForwardExchange, target: Target, {isConnectionClosed: isCut, answeringMs}: Lost): void {
		const hasJustBegun = answeringMs === undefined || answeringMs <= beginMs;
		this.suspects.noteLoss({fingerprint, life: target, hasJustBegun}, this.options.clock());
		if (isCut && !this.checked.has(target.id)) {
			void this.look(target);
		}
	}

	/** Notes that a target has started again under its id. */
	noteRestart(target: string): void {
		this.reportCrash(target);
	}

	private async look(target: Target): Promise<void> {
		const {check, health, clock, log} = this.options;
		this.checked.add(target.id);
		const finding = await check(target);
		this.checked.delete(target.id);
		if (finding !== 'refuses') {
			return;
		}

		log(`target ${target.id} of ${target.service} has crashed: it has ended its connections, and nobody listens at its address`);
		health.avoid(target.id, clock());
		this.reportCrash(target.id);
	}

	private reportCrash(target: string): void {
		const {clock, onCrashFound: onFound} = this.options;
		if (this.suspects.noteCrash(target, clock())) {
			onFound();
		}
	}
}
