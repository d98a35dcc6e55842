import {type SecureContextOptions} from 'node:tls';

/** TLS settings of every link: pre-shared key with an ephemeral exchange, so that a key read later opens no old recording. */
export const linkSecurity = {
	identity: 'wardswitch',
	context: {
		minVersion: 'TLSv1.2',
		maxVersion: 'TLSv1.2',
		ciphers: 'ECDHE-PSK-CHACHA20-POLY1305',
	} satisfies SecureContextOptions,
} as const;
