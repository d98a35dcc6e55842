import {type LinkMessage} from './link-message.js';

const requestTypes = new Set<LinkMessage['type']>(['request', 'cancel', 'cancelled', 'resume', 'acknowledge', 'attach', 'head', 'data', 'end', 'broken', 'refused']);

/** Whether a message is control traffic rather than part of a caller's request, so that control traffic can be metered separately. */
export function isControlMessage(message: LinkMessage): boolean {
	return !requestTypes.has(message.type);
}
