/** Why a request is refused that would not end before this process does, for its caller. */
export const stopDetail = 'this entry stops before the request would have its answer';
