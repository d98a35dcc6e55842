/**
 * A page of the admin server: returns the JSON document for `argument`, the part of the path after the page's name, or
 * undefined for a 404.
 */
export type AdminPage = (argument: string) => unknown;
