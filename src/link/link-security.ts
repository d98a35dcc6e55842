import {type SecureContextOptions} from 'node:tls';

/** TLS settings of every link: pre-shared key with an ephemeral key exchange (forward secrecy: a key that leaks later does not decrypt recorded traffic). */
export const linkSecurity = {
	identity: 'wardswitch',
	context: {
		minVersion: 'TLSv1.2',
		maxVersion: 'TLSv1.2',
		ciphers: 'ECDHE-PSK-CHACHA20-POLY1305',
	} satisfies SecureContextOptions,
} as const;
