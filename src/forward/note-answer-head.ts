import {type LoadBoard} from '../balance/load-board.js';
import {type TargetLimits} from '../balance/target-limits.js';
import {type TargetRefusals} from '../balance/target-refusals.js';
import {type TargetRests} from '../balance/target-rests.js';
import {type TargetDirectory} from '../fleet/target-directory.js';
import {type Target} from '../fleet/target.js';
import {type AnswerMarks} from './answer-marks.js';

/** First status of answers that bring nothing that was asked for. */
const leastFailure = 400;

type Head = {
	readonly target: Target;
	readonly marks: AnswerMarks;
	/** When the request was sent that the answer was waited for, milliseconds. */
	readonly sentAt: number;
};

type NoteOptions = {
	readonly directory: TargetDirectory;
	readonly rests: TargetRests;
	readonly limits: TargetLimits;
	readonly refusals: TargetRefusals;
	readonly board: LoadBoard;
	/** Told of each request that a target turned away, and whether it asked for rest. */
	readonly onRefusal: (service: string, isRestAsked: boolean) => void;
	/** Told of a target that says that it leaves, at each of its answers. */
	readonly onLeave: (target: Target) => void;
};

/**
 * Takes what the head of an answer says of its target for all requests to come, whatever became of the request it answers: that it
 * serves or refuses, leaves, wants to rest, or takes so many requests a second only. An answer in another target's name says nothing of the one that was meant, and one of a life that
 * has ended nothing of the present one.
 */
export function noteAnswerHead({target, marks, sentAt}: Head, now: number, {directory, rests, limits, refusals, board, onRefusal, onLeave}: NoteOptions): void {
	const {status, targetId, isNotRun, isGroupDown, isMisdirected, isLeaving, restMs, limit, retryAfter} = marks;
	const speaker = targetId === undefined || targetId === target.id ? target : directory.get(targetId);
	const known = speaker && directory.get(speaker.id);
	if (!speaker || (known && known.bornAt !== speaker.bornAt)) {
		return;
	}

	if (isNotRun && !isGroupDown && !isMisdirected) {
		refusals.noteRefusal(speaker.id, now);
		onRefusal(speaker.service, restMs !== undefined);
	} else if (status < leastFailure) {
		refusals.noteServing(speaker.id, sentAt, now);
	}

	limits.note(speaker, limit, sentAt, now);
	if (isLeaving) {
		onLeave(speaker);
	}

	if (restMs !== undefined && restMs > 0) {
		rests.begin(speaker, {
			restMs, status, retryAfter: retryAfter ?? '', inFlight: board.count(speaker.id, now),
		}, now);
	}
}
