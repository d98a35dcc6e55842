import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type TraceCollector} from './trace-collector.js';

type SpanDocument = {readonly name: string; readonly traceId: string};
type TraceDocument = {readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: readonly SpanDocument[]}>}>};

/** Starts the stand-in of an OTLP/HTTP collector on loopback. */
export async function startTraceCollector(): Promise<TraceCollector> {
	const spans: SpanDocument[] = [];
	const server = createServer((request, response) => {
		let text = '';
		request.on('data', chunk => {
			text += String(chunk);
		});
		request.on('end', () => {
			const {resourceSpans} = JSON.parse(text) as TraceDocument;
			spans.push(...resourceSpans.flatMap(({scopeSpans}) => scopeSpans.flatMap(scope => scope.spans)));
			response.end('{}');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces`,
		spans,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
