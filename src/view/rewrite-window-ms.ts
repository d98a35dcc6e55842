/** Time within which writers write again what a restored store lacks, milliseconds. */
export const rewriteWindowMs = 2000;
