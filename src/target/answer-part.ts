import {type AnswerMessage} from './answer-message.js';

type WithoutCall<Message> = Message extends unknown ? Omit<Message, 'id' | 'attempt' | 'sequence'> : never;

/** A part of an answer without the call and sequence number that it is sent under. */
export type AnswerPart = WithoutCall<AnswerMessage>;
