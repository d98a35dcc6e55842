import {type LoadBoard} from '../balance/load-board.js';
import {admitStream} from '../decisions/admit-stream.js';
import {PauseForecast} from '../decisions/pause-forecast.js';
import {type Route} from '../fleet/route.js';
import {type Service} from '../fleet/service.js';
import {getUnit} from '../fleet/get-unit.js';
import {type Target} from '../fleet/target.js';

type AdmissionOptions = {
	readonly board: LoadBoard;
	/** Targets of a service that may be sent something now. */
	readonly listAvailable: (service: string, now: number) => readonly Target[];
	/** Whether a target takes requests, as far as known: who refuses has no room to reckon with. */
	readonly isHealthy: (target: Target, now: number) => boolean;
	/** What operators have configured for a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
};

type Gaps = {count: number; sumMs: number; readonly service: string};

/** The targets that a stream may be sent to now; where there are none, the reason why those of a service are all refused. */
type Room = {readonly targets: readonly Target[]; readonly refusal: string | undefined};

const groupByUnit = (targets: readonly Target[]): Map<string, Target[]> => {
	const units = new Map<string, Target[]>();
	for (const target of targets) {
		const unit = getUnit(target);
		const members = units.get(unit) ?? [];
		members.push(target);
		units.set(unit, members);
	}

	return units;
};

/**
 * Admits streams to services that tell how fast they write, by the pauses that the streams under way show: to each group by
 * its own, since one with a slow rank or uneven experts says nothing of the others.
 */
export class StreamAdmission {
	private readonly forecasts = new Map<string, PauseForecast>();
	private readonly gaps = new Map<string, Gaps>();

	constructor(private readonly options: AdmissionOptions) {}

	/** Notes the time between two events of a stream, milliseconds. */
	noteGap(target: Target, gapMs: number): void {
		const unit = getUnit(target);
		const gaps = this.gaps.get(unit) ?? {count: 0, sumMs: 0, service: target.service};
		gaps.count++;
		gaps.sumMs += gapMs;
		this.gaps.set(unit, gaps);
	}

	/** Learns from the gaps since the last call. */
	tick(now: number): void {
		for (const [unit, {count, sumMs, service}] of this.gaps) {
			const pace = this.options.getService(service)?.pace;
			const targets = this.listSound(groupByUnit(this.options.listAvailable(service, now)).get(unit) ?? [], now);
			if (pace && targets.length > 0) {
				const load = this.countInFlight(targets, now) / targets.length;
				this.getForecast(unit).observe({gapMs: sumMs / count, load, pace}, now);
			}
		}

		this.gaps.clear();
	}

	/**
	 * Leaves out the targets of groups that have no room for a stream now.
	 *
	 * @param targets - targets of one service
	 * @param leftMs - time that the caller has left, milliseconds; who has just asked has all of the route's
	 */
	findTargetsWithRoom(targets: readonly Target[], {kind, targetGapMs, timeoutMs, targetLatencyMs}: Route, leftMs: number, now: number): Room {
		const pace = targets.length === 0 ? undefined : this.options.getService(targets[0].service)?.pace;
		if (kind !== 'stream' || targetGapMs === undefined || !pace) {
			return {targets, refusal: undefined};
		}

		const open: Target[] = [];
		const refusals: string[] = [];
		for (const [unit, members] of groupByUnit(targets)) {
			const sound = this.listSound(members, now);
			const inFlight = this.countInFlight(sound, now);
			const admission = admitStream({
				forecast: this.getForecast(unit), pace, targetGapMs, inFlight, targets: sound.length, isLate: timeoutMs - leftMs > targetLatencyMs,
			});
			if (admission.kind === 'admitted') {
				open.push(...members);
			} else {
				refusals.push(`${unit}: ${inFlight} streams under way, at most ${admission.maximumInFlight} go on without pauses over ${targetGapMs} ms (mean now ${Math.round(admission.pauseMs)} ms)`);
			}
		}

		return {targets: open, refusal: open.length > 0 ? undefined : refusals.join('; ')};
	}

	/* Passes last as long as the fullest rank's part: ranks that refuse do not share in it, the others have all of it. */
	private listSound(targets: readonly Target[], now: number): readonly Target[] {
		const sound = targets.filter(target => this.options.isHealthy(target, now));
		return sound.length > 0 ? sound : targets;
	}

	private getForecast(unit: string): PauseForecast {
		const forecast = this.forecasts.get(unit) ?? new PauseForecast();
		this.forecasts.set(unit, forecast);
		return forecast;
	}

	private countInFlight(targets: readonly Target[], now: number): number {
		let inFlight = 0;
		for (const {id} of targets) {
			inFlight += this.options.board.count(id, now);
		}

		return inFlight;
	}
}
