/** Why a request is aborted whose connection went silent at the same time as others. */
export const silentConnectionReason = 'the connection has gone silent, as have others';
