/** Rates are capped at this, requests per second; no target reaches it. */
const maximumPerSecond = 1_000_000;
const decimalForm = /^\d+(?:\.\d+)?$/v;

/**
 * Parses a rate from a header, a decimal number; of several values the lowest applies.
 *
 * @returns requests per second; undefined when one of the values is not a decimal number
 */
export function readRate(text: string): number | undefined {
	const values = text.split(',').map(value => value.trim());
	return values.every(value => decimalForm.test(value)) ? Math.min(maximumPerSecond, ...values.map(Number)) : undefined;
}
