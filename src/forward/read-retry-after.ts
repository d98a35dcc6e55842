/** A rest of more than a day outlasts any target; a longer one counts as this, milliseconds. */
const longestMs = 86_400_000;
const secondsForm = /^\d+(?:\.\d+)?$/v;
/** A date as HTTP writes it (RFC 9110, 5.6.7); its comma is not one between two values. */
const dateForm = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;
const listComma = /,(?!\s*\d{2} [A-Z][a-z]{2} )/v;

/*
 * A date is taken against the answer's own `Date`, so that clocks of two VMs that differ do not matter; without one it
 * cannot be told from now.
 */
const readValue = (text: string, sentAt: number): number | undefined => {
	if (secondsForm.test(text)) {
		return Number(text) * 1000;
	}

	const ms = dateForm.test(text) ? Date.parse(text) - sentAt : Number.NaN;
	return Number.isNaN(ms) ? undefined : Math.max(0, ms);
};

/**
 * Reads how long an answer's `Retry-After` asks for (RFC 9110, 10.2.3; fractions of a second too): of several values the
 * longest, since each was asked for.
 *
 * @param headers - names in lower case
 * @returns milliseconds; undefined when there is none that can be read
 */
export function readRetryAfter(headers: ReadonlyMap<string, string>): number | undefined {
	const sentAt = Date.parse(headers.get('date') ?? '');
	const values = (headers.get('retry-after') ?? '').split(listComma).map(text => readValue(text.trim(), sentAt));
	const known = values.filter(value => value !== undefined);
	return known.length === 0 ? undefined : Math.min(longestMs, Math.max(...known));
}
