import {type LinkMessage} from './link-message.js';

/** The link message with the given `type`. */
export type MessageOf<Type extends LinkMessage['type']> = Extract<LinkMessage, {type: Type}>;
