import {World} from '@cucumber/cucumber';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type SystemOptions} from '../../stand-ins/system/system-options.js';
import {startSystem} from '../../stand-ins/system/start-system.js';
import {type System} from '../../stand-ins/system/system.js';
import {type Reply} from './reply.js';
import {ScenarioClock} from './scenario-clock.js';
import {tokens} from './tokens.js';

/** State shared by the steps of one scenario. */
export class SystemWorld extends World {
	readonly clock = new ScenarioClock();
	/** Replies that callers wait for or have received, by a name that steps agree on. */
	readonly replies = new Map<string, Promise<Reply>>();
	/** Values that steps leave for later steps, by name. */
	readonly notes = new Map<string, unknown>();
	private readonly closeHandlers: Array<() => void> = [];
	private running: System | undefined;

	/** The system that `startSystem` has started. */
	get system(): System {
		return this.running!;
	}

	/** Starts a system: two availability zones with two entries each, four ranks and two workers, unless `options` say otherwise. */
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

	/** Starts a system whose clock only the scenario moves, and whose choice of targets depends on `seed` alone. */
	async startHeldSystem(seed: number, options: Partial<SystemOptions>): Promise<void> {
		const generator = xoroshiro128plus(seed);
		await this.startSystem({routingRandom: () => uniformFloat64(generator), ...options});
		this.clock.hold();
	}

	/** Adds a handler that is called when the scenario ends. */
	onClose(handler: () => void): void {
		this.closeHandlers.push(handler);
	}

	/** Calls the handlers and stops the system. */
	async close(): Promise<void> {
		for (const handler of this.closeHandlers) {
			handler();
		}

		await this.running?.close();
	}
}
