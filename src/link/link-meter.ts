/** Counts one frame by direction, traffic class and bytes, header included. */
export type LinkMeter = (direction: 'sent' | 'received', isControl: boolean, bytes: number) => void;
