import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Ticket} from './ticket.js';

/** Verifies and decodes a ticket; undefined if it was not signed with the link key (hexadecimal). */
export function readTicket(text: string, linkKey: string): Ticket | undefined {
	const [body, signature] = text.split('.');
	const expected = createHmac('sha256', Buffer.from(linkKey, 'hex')).update(`ticket.${body}`).digest();
	const given = Buffer.from(signature ?? '', 'base64url');
	if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
		return undefined;
	}

	return Ticket.parse(JSON.parse(Buffer.from(body, 'base64url').toString()));
}
