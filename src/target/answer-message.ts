import {type MessageOf} from '../link/message-of.js';

/** A message that carries part of an answer, in sequence. */
export type AnswerMessage = MessageOf<'head' | 'data' | 'end' | 'broken'>;
