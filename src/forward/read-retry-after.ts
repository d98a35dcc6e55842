/** Delays are capped at one day, which outlasts any target, milliseconds. */
const maximumDelayMs = 86_400_000;
const secondsForm = /^\d+(?:\.\d+)?$/v;
/** An HTTP date (RFC 9110, 5.6.7); its comma does not separate values. */
const dateForm = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;
const listComma = /,(?!\s*\d{2} [A-Z][a-z]{2} )/v;

/*
 * A date is compared with the `Date` of the same answer, so that clock differences between VMs do not matter; without
 * `Date` it cannot be used.
 */
const readValue = (text: string, sentAt: number): number | undefined => {
	if (secondsForm.test(text)) {
		return Number(text) * 1000;
	}

	const ms = dateForm.test(text) ? Date.parse(text) - sentAt : Number.NaN;
	return Number.isNaN(ms) ? undefined : Math.max(0, ms);
};

/**
 * Parses `Retry-After` of an answer (RFC 9110, 10.2.3; fractions of a second are accepted); of several values the
 * longest applies.
 *
 * @param headers - names in lower case
 * @returns milliseconds; undefined when there is no valid value
 */
export function readRetryAfter(headers: ReadonlyMap<string, string>): number | undefined {
	const sentAt = Date.parse(headers.get('date') ?? '');
	const values = (headers.get('retry-after') ?? '').split(listComma).map(text => readValue(text.trim(), sentAt));
	const known = values.filter(value => value !== undefined);
	return known.length === 0 ? undefined : Math.min(maximumDelayMs, Math.max(...known));
}
