import {Buffer} from 'node:buffer';
import {createHmac} from 'node:crypto';
import {type Ticket} from './ticket.js';

/** Writes a ticket as text that only holders of the link key can make. */
export function signTicket(ticket: Ticket, linkKey: string): string {
	const body = Buffer.from(JSON.stringify(ticket)).toString('base64url');
	const signature = createHmac('sha256', Buffer.from(linkKey, 'hex')).update(`ticket.${body}`).digest('base64url');
	return `${body}.${signature}`;
}
