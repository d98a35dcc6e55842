const prefix = 'wardswitch/groups/';

/** Keys of the group listings in the store. */
export const groupKeys = {
	prefix,
	make: (service: string, group: string): string => `${prefix}${service}/${group}`,
};
