import {err, ok} from 'neverthrow';
import {type TargetLink} from '../calls/target-link.js';
import {Problem} from '../requests/problem.js';
import {type RunGuard} from './run-guard.js';
import {type Ticket} from './ticket.js';

/** Guards a request by a ticket: it runs only at the ticket's target process, which records that the ticket was used. */
export function makeTicketGuard(ticket: Ticket): RunGuard {
	const key = `ticket/${ticket.id}`;
	let isUsed = false;
	let hasRequestedRun = false;
	return {
		isRepeatable: false,
		target: ticket.target,
		async admit(link: TargetLink) {
			if (link.incarnation !== ticket.incarnation) {
				return err(new Problem({
					status: 409,
					title: 'The target of the ticket is gone',
					detail: 'the target process that the ticket names was replaced; this call did not run, whether an earlier one did is not known',
					outcome: 'not-run',
					keyState: 'unknown',
				}));
			}

			const {target, incarnation, expiresAt} = ticket;
			hasRequestedRun = true;
			return isUsed
				? ok({
					kind: 'join', target, incarnation, key, owner: key,
				})
				: ok({
					kind: 'run',
					once: {
						key, owner: key, incarnation, expiresAt,
					},
				});
		},
		takeOver() {
			isUsed = false;
		},
		noteOwnershipRefused() {
			isUsed = true;
		},
		async abandon() {
			if (isUsed) {
				return 'used';
			}

			// Only the target process knows of earlier requests with this ticket; its refusal proves that there was none.
			return hasRequestedRun ? 'unused' : 'unknown';
		},
	};
}
