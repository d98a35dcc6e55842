import {World} from '@cucumber/cucumber';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type SystemOptions} from '../../stand-ins/system/system-options.js';
import {startSystem} from '../../stand-ins/system/start-system.js';
import {type System} from '../../stand-ins/system/system.js';
import {type Reply} from './reply.js';
import {ScenarioClock} from './scenario-clock.js';
import {tokens} from './tokens.js';

/** What the steps of one scenario share. */
export class SystemWorld extends World {
	readonly clock = new ScenarioClock();
	readonly replies = new Map<string, Promise<Reply>>();
	readonly notes = new Map<string, unknown>();
	private readonly closeHandlers: Array<() => void> = [];
	private running: System | undefined;

	get system(): System {
		return this.running!;
	}

	/** Starts a system; two zones of two entries, four ranks and two workers unless said otherwise. */
	async startSystem(options: Partial<SystemOptions> = {}): Promise<void> {
		const generator = xoroshiro128plus(7);
		this.running = await startSystem({
			zones: ['barre-hall', 'quincy-hall'],
			entriesPerZone: 2,
			ranks: 4,
			workers: 2,
			table: tokens.table,
			clock: this.clock.read,
			random: () => uniformFloat64(generator),
			...options,
		});
	}

	/** Adds what must be ended with the scenario. */
	onClose(end: () => void): void {
		this.closeHandlers.push(end);
	}

	async close(): Promise<void> {
		for (const end of this.closeHandlers) {
			end();
		}

		await this.running?.close();
	}
}
