/** Counts a frame: its direction, whether it is control, and its bytes. */
export type LinkMeter = (direction: 'sent' | 'received', isControl: boolean, bytes: number) => void;
