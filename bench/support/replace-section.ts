/** Replaces the text between the markers `<!-- name -->` and `<!-- /name -->` of a page. */
export function replaceSection(page: string, name: string, text: string): string {
	const start = `<!-- ${name} -->`;
	const end = `<!-- /${name} -->`;
	const before = page.slice(0, page.indexOf(start) + start.length);
	const after = page.slice(page.indexOf(end));
	return `${before}\n${text}\n${after}`;
}
