/** A rate above this is no bound for any target, requests per second. */
const mostPerSecond = 1_000_000;
const decimalForm = /^\d+(?:\.\d+)?$/v;

/**
 * Reads a header's rate, a decimal number; of several values the lowest, since each was named.
 *
 * @returns requests per second; undefined when one of the values is no such number
 */
export function readRate(text: string): number | undefined {
	const values = text.split(',').map(value => value.trim());
	return values.every(value => decimalForm.test(value)) ? Math.min(mostPerSecond, ...values.map(Number)) : undefined;
}
