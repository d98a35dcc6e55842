import {type AnswerMessage} from './answer-message.js';

type WithoutCall<Message> = Message extends unknown ? Omit<Message, 'id' | 'attempt' | 'sequence'> : never;

/** Part of an answer before it is numbered for a call. */
export type AnswerPart = WithoutCall<AnswerMessage>;
