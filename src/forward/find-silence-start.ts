/** A stream that has stopped, and when it last made progress, milliseconds. */
type StoppedStream = {readonly target: string; readonly progressAt: number};

/** Connections that are cut at the same moment stop within this time of each other, milliseconds: a group sends an event every 35 to 60 ms. */
const simultaneousMs = 150;

/**
 * Finds when the connections of several targets went silent together.
 *
 * @param stopped - streams that stand still, of a group or service that makes progress on others
 * @returns the last progress on any of them, milliseconds; undefined if no two targets stopped at the same time
 */
export function findSilenceStart(stopped: readonly StoppedStream[]): number | undefined {
	const sorted = [...stopped].toSorted((one, other) => other.progressAt - one.progressAt);
	const last = sorted.find(({target, progressAt}) => sorted.some(other =>
		other.target !== target && other.progressAt <= progressAt && progressAt - other.progressAt <= simultaneousMs));
	return last?.progressAt;
}
