import {type MessageOf} from '../link/message-of.js';

/** A link message that carries one numbered part of an answer. */
export type AnswerMessage = MessageOf<'head' | 'data' | 'end' | 'broken'>;
