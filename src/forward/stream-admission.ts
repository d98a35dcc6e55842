import {type LoadBoard} from '../balance/load-board.js';
import {admitStream} from '../decisions/admit-stream.js';
import {PauseForecast} from '../decisions/pause-forecast.js';
import {type Route} from '../fleet/route.js';
import {type Service} from '../fleet/service.js';
import {type TargetDirectory} from '../fleet/target-directory.js';

type AdmissionOptions = {
	readonly board: LoadBoard;
	readonly directory: TargetDirectory;
	/** What operators have configured for a service; undefined while it is not known. */
	readonly getService: (name: string) => Service | undefined;
};

type Gaps = {count: number; sumMs: number};

/** Admits streams to services that tell how fast they write, by the pauses that the streams under way show. */
export class StreamAdmission {
	private readonly forecasts = new Map<string, PauseForecast>();
	private readonly gaps = new Map<string, Gaps>();

	constructor(private readonly options: AdmissionOptions) {}

	/** Notes the time between two events of a stream, milliseconds. */
	noteGap(service: string, gapMs: number): void {
		const gaps = this.gaps.get(service) ?? {count: 0, sumMs: 0};
		gaps.count++;
		gaps.sumMs += gapMs;
		this.gaps.set(service, gaps);
	}

	/** Learns from the gaps since the last call. */
	tick(now: number): void {
		for (const [service, {count, sumMs}] of this.gaps) {
			const pace = this.options.getService(service)?.pace;
			const {inFlight, targets} = this.countLoad(service, now);
			if (pace && targets > 0) {
				this.getForecast(service).observe({gapMs: sumMs / count, load: inFlight / targets, pace}, now);
			}
		}

		this.gaps.clear();
	}

	/**
	 * Why a stream should not be sent to a service now; undefined if it should.
	 *
	 * @param leftMs - time that the caller has left, milliseconds; who has just asked has all of the route's
	 */
	refuse(service: string, {kind, targetGapMs, timeoutMs, targetLatencyMs}: Route, leftMs: number, now: number): string | undefined {
		const pace = this.options.getService(service)?.pace;
		if (kind !== 'stream' || targetGapMs === undefined || !pace) {
			return undefined;
		}

		const {inFlight, targets} = this.countLoad(service, now);
		const admission = admitStream({
			forecast: this.getForecast(service), pace, targetGapMs, inFlight, targets, isLate: timeoutMs - leftMs > targetLatencyMs,
		});
		return admission.kind === 'admitted'
			? undefined
			: `${inFlight} streams under way, at most ${admission.most} go on without pauses over ${targetGapMs} ms (mean now ${Math.round(admission.pauseMs)} ms)`;
	}

	private getForecast(service: string): PauseForecast {
		const forecast = this.forecasts.get(service) ?? new PauseForecast();
		this.forecasts.set(service, forecast);
		return forecast;
	}

	private countLoad(service: string, now: number): {inFlight: number; targets: number} {
		const targets = this.options.directory.list(service);
		let inFlight = 0;
		for (const {id} of targets) {
			inFlight += this.options.board.count(id, now);
		}

		return {inFlight, targets: targets.length};
	}
}
