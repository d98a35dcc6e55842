import {countCrashEvents} from './count-crash-events.js';

type Evidence = {
	/** For each suspected part, the crashes in which a request with it was lost as it began to run, and a tag of that request. */
	readonly suspects: ReadonlyMap<string, ReadonlyMap<string, string>>;
	/** Time of each crash, milliseconds. */
	readonly crashTimes: ReadonlyMap<string, number>;
	/** Whether a request was sent for trial of a part, and lost in a crash. */
	readonly isTried?: (part: string, crash: string) => boolean;
	/** Whether a part is accused already. */
	readonly isAccused: (part: string) => boolean;
	/** Whether nearly all requests have parts that are known to be sound, so that a crash hardly meets another one by chance. */
	readonly areOthersSound: boolean;
};

/** Parts that the same crashes are held against, so that only a request with one of them shows which is the cause; `events` counts crashes at the same moment once. */
type Accusation = {readonly parts: readonly string[]; readonly crashes: ReadonlySet<string>; readonly events: number};
type Suspect = {readonly part: string; readonly crashes: ReadonlySet<string>; readonly requests: ReadonlySet<string>; readonly events: number};

/** Crashes, each at another moment, that accuse a part if nothing else can explain them. */
const minimumCrashes = 2;
/**
 * Targets that crash for other reasons take requests along with them, and the more often they do, the likelier it is that a part
 * meets several such crashes: one more crash is needed for each of these numbers of other crashes nearby.
 */
const otherCrashesPerLevel = [1, 8];
/** Other crashes are nearby that are at most this far from one of the part's own, milliseconds. */
const nearbyMs = 10_000;

const isSame = (one: ReadonlySet<string>, other: ReadonlySet<string>): boolean => one.size === other.size && [...one].every(crash => other.has(crash));
const isOverlapping = (one: ReadonlySet<string>, other: ReadonlySet<string>): boolean => [...one].some(crash => other.has(crash));

/*
 * One request that is sent twice may meet two crashes by chance, and its parts cannot be told apart. That weighs less than the crashes
 * of two requests, or crashes in which nothing else was lost that is not known to be sound.
 */
const isAmbiguous = ({part, crashes, requests}: Suspect, suspects: readonly Suspect[], areOthersSound: boolean): boolean => {
	const others = suspects.filter(other => other.part !== part);
	const mayBeChance = !areOthersSound || others.some(other => isOverlapping(other.crashes, crashes));
	return others.some(other => isSame(other.crashes, crashes)) || (requests.size === 1 && mayBeChance);
};

/**
 * Finds the parts that explain the crashes. The part with the most crashes that nothing else explains comes first; what it explains is
 * no longer held against the others, which were only present.
 */
export function accuseParts({suspects, crashTimes, isTried = () => false, isAccused, areOthersSound}: Evidence): Accusation[] {
	const accusations: Accusation[] = [];
	const unexplained = new Set(crashTimes.keys());
	const countNearby = (crashes: ReadonlySet<string>): number => {
		const times = [...crashes].map(crash => crashTimes.get(crash)!);
		const isNearby = (crash: string): boolean => times.some(at => Math.abs(at - crashTimes.get(crash)!) <= nearbyMs);
		return [...unexplained].filter(crash => !crashes.has(crash) && isNearby(crash)).length;
	};

	const countNeeded = (suspect: Suspect, remaining: readonly Suspect[]): number => {
		const nearby = countNearby(suspect.crashes);
		const levels = otherCrashesPerLevel.filter(level => nearby >= level).length;
		return minimumCrashes + Math.max(levels, isAmbiguous(suspect, remaining, areOthersSound) ? 1 : 0);
	};

	const listRemaining = (): Suspect[] => [...suspects].map(([part, tags]) => {
		const crashes = [...tags].filter(([crash]) => unexplained.has(crash));
		const events = countCrashEvents(crashes.map(([crash]) => ({at: crashTimes.get(crash)!, isTried: isTried(part, crash)})));
		return {
			part, crashes: new Set(crashes.map(([crash]) => crash)), requests: new Set(crashes.map(([, tag]) => tag)), events,
		};
	}).filter(({crashes}) => crashes.size > 0);

	for (;;) {
		const remaining = listRemaining();
		const isProven = (suspect: Suspect): boolean => isAccused(suspect.part) || suspect.events >= countNeeded(suspect, remaining);
		const mostCrashes = remaining.toSorted((one, other) => other.crashes.size - one.crashes.size);
		const first = mostCrashes.find(suspect => suspect.crashes.size >= minimumCrashes && isProven(suspect));
		if (!first) {
			return accusations;
		}

		accusations.push({parts: remaining.filter(({crashes}) => isSame(crashes, first.crashes)).map(({part}) => part), crashes: first.crashes, events: first.events});
		for (const crash of first.crashes) {
			unexplained.delete(crash);
		}
	}
}
