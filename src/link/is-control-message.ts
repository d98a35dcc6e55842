import {type LinkMessage} from './link-message.js';

const requestTypes = new Set<LinkMessage['type']>(['request', 'cancel', 'cancelled', 'resume', 'acknowledge', 'attach', 'head', 'data', 'end', 'broken', 'refused']);

/** Tells control messages from those that carry callers' requests, for the control budget. */
export function isControlMessage(message: LinkMessage): boolean {
	return !requestTypes.has(message.type);
}
