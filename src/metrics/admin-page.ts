/** A page of the admin server: gives its JSON document, or undefined when there is none for `argument`. */
export type AdminPage = (argument: string) => unknown;
