import {type MessageOf} from '../link/message-of.js';
import {type RecordTable} from './record-table.js';

type TargetState = {
	readonly incarnation: string;
	readonly isLeaving: boolean;
	readonly records: RecordTable;
};

/** Clock skew between VMs that is allowed for when the expiry of a claim or ticket is checked, milliseconds. */
const clockSkewMs = 5000;

/** Returns why a request must not start at this target process, regardless of capacity; undefined when it may. */
export function findRefusal(request: MessageOf<'request'>, target: TargetState, now: number): MessageOf<'refused'>['reason'] | undefined {
	const {records, incarnation, isLeaving} = target;
	const {id, attempt, once} = request;
	if (records.hasTombstone(`${id}/${attempt}`) || (once && records.hasTombstone(once.owner))) {
		return 'cancelled';
	}

	// The key is checked before `isLeaving`, so that a second copy of a request can still join the first.
	return (once && findKeyRefusal(once, records, incarnation, now)) ?? (isLeaving ? 'leaving' : undefined);
}

function findKeyRefusal(once: NonNullable<MessageOf<'request'>['once']>, records: RecordTable, incarnation: string, now: number): MessageOf<'refused'>['reason'] | undefined {
	if (once.incarnation !== incarnation) {
		return 'incarnation';
	}

	if (now + clockSkewMs > once.expiresAt) {
		return 'expired';
	}

	if (records.getByKey(once.key)) {
		return 'duplicate';
	}

	return records.isFull ? 'full' : undefined;
}
