import {Buffer} from 'node:buffer';
import {createHmac} from 'node:crypto';
import {type Ticket} from './ticket.js';

/** Encodes a ticket as text, signed with the link key (hexadecimal). */
export function signTicket(ticket: Ticket, linkKey: string): string {
	const body = Buffer.from(JSON.stringify(ticket)).toString('base64url');
	const signature = createHmac('sha256', Buffer.from(linkKey, 'hex')).update(`ticket.${body}`).digest('base64url');
	return `${body}.${signature}`;
}
