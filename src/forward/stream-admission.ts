import {type InFlightCounts} from '../balance/in-flight-counts.js';
import {admitStream} from '../decisions/admit-stream.js';
import {GapForecast} from '../decisions/gap-forecast.js';
import {type Route} from '../fleet/route.js';
import {type Service} from '../fleet/service.js';
import {getFailureDomain} from '../fleet/get-failure-domain.js';
import {type Target} from '../fleet/target.js';

type AdmissionOptions = {
	readonly inFlightCounts: InFlightCounts;
	/** Returns the targets of a service that requests may be sent to now. */
	readonly listAvailable: (service: string, now: number) => readonly Target[];
	/** Whether a target is known to take requests; the capacity of others is not counted. */
	readonly isHealthy: (target: Target, now: number) => boolean;
	/** Returns the configuration of a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
};

type Gaps = {count: number; sumMs: number; readonly service: string};

/** The targets that have room for a stream; where none has, the reason. */
type TargetsWithRoom = {readonly targets: readonly Target[]; readonly refusal: string | undefined};

const groupByFailureDomain = (targets: readonly Target[]): Map<string, Target[]> => {
	const failureDomains = new Map<string, Target[]>();
	for (const target of targets) {
		const failureDomain = getFailureDomain(target);
		const members = failureDomains.get(failureDomain) ?? [];
		members.push(target);
		failureDomains.set(failureDomain, members);
	}

	return failureDomains;
};

/**
 * Admits streams to services with a configured pace, by the gaps observed in the streams in flight. Each group has its
 * own forecast, since a slow rank or unbalanced experts in one do not affect the others.
 */
export class StreamAdmission {
	private readonly forecasts = new Map<string, GapForecast>();
	private readonly gaps = new Map<string, Gaps>();

	constructor(private readonly options: AdmissionOptions) {}

	/** Records the gap between two events of a stream, milliseconds. */
	noteGap(target: Target, gapMs: number): void {
		const failureDomain = getFailureDomain(target);
		const gaps = this.gaps.get(failureDomain) ?? {count: 0, sumMs: 0, service: target.service};
		gaps.count++;
		gaps.sumMs += gapMs;
		this.gaps.set(failureDomain, gaps);
	}

	/** Updates the forecasts by the gaps recorded since the last call. */
	tick(now: number): void {
		for (const [failureDomain, {count, sumMs, service}] of this.gaps) {
			const pace = this.options.getService(service)?.pace;
			const targets = this.listHealthy(groupByFailureDomain(this.options.listAvailable(service, now)).get(failureDomain) ?? [], now);
			if (pace && targets.length > 0) {
				const load = this.countInFlight(targets, now) / targets.length;
				this.getForecast(failureDomain).observe({gapMs: sumMs / count, load, pace}, now);
			}
		}

		this.gaps.clear();
	}

	/**
	 * Filters out the targets of groups that have no room for a stream now.
	 *
	 * @param targets - targets of one service
	 * @param leftMs - time that the caller has left, milliseconds; the route's whole timeout at a first attempt
	 */
	findTargetsWithRoom(targets: readonly Target[], {kind, targetGapMs, timeoutMs, targetLatencyMs}: Route, leftMs: number, now: number): TargetsWithRoom {
		const pace = targets.length === 0 ? undefined : this.options.getService(targets[0].service)?.pace;
		if (kind !== 'stream' || targetGapMs === undefined || !pace) {
			return {targets, refusal: undefined};
		}

		const open: Target[] = [];
		const refusals: string[] = [];
		for (const [domain, members] of groupByFailureDomain(targets)) {
			const healthy = this.listHealthy(members, now);
			const inFlight = this.countInFlight(healthy, now);
			const verdict = admitStream({
				forecast: this.getForecast(domain), pace, targetGapMs, inFlight, targets: healthy.length, isLate: timeoutMs - leftMs > targetLatencyMs,
			});
			if (verdict.kind === 'admitted') {
				open.push(...members);
			} else {
				refusals.push(`${domain}: ${inFlight} streams under way, at most ${verdict.maximumInFlight} go on without pauses over ${targetGapMs} ms (mean now ${Math.round(verdict.gapMs)} ms)`);
			}
		}

		return {targets: open, refusal: open.length > 0 ? undefined : refusals.join('; ')};
	}

	/* The most loaded rank determines the time of a pass. Ranks that refuse requests take no share, so the load per rank is that of the others. */
	private listHealthy(targets: readonly Target[], now: number): readonly Target[] {
		const healthy = targets.filter(target => this.options.isHealthy(target, now));
		return healthy.length > 0 ? healthy : targets;
	}

	private getForecast(failureDomain: string): GapForecast {
		const forecast = this.forecasts.get(failureDomain) ?? new GapForecast();
		this.forecasts.set(failureDomain, forecast);
		return forecast;
	}

	private countInFlight(targets: readonly Target[], now: number): number {
		let inFlight = 0;
		for (const {id} of targets) {
			inFlight += this.options.inFlightCounts.count(id, now);
		}

		return inFlight;
	}
}
