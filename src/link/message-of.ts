import {type LinkMessage} from './link-message.js';

/** The message of one type among all link messages. */
export type MessageOf<Type extends LinkMessage['type']> = Extract<LinkMessage, {type: Type}>;
