import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type StoreCrowd} from './store-crowd.js';

type Draw = (count: number) => number;
type Stir = (crowd: StoreCrowd, draw: Draw, turn: number) => void;

/** Time after the last trouble until the mixture ends, milliseconds. */
const calmMs = 6000;
const longestPauseMs = 900;
const longestTroubleMs = 2500;
const longestRewriteMs = 1500;
const slowMs = 240;
const usualMs = 4;
const lostShare = 0.4;

/* A trouble lasts for a while, and ends by itself. */
const trouble = (begin: (crowd: StoreCrowd, draw: Draw) => () => void): Stir => (crowd, draw) => {
	crowd.disturb();
	const end = begin(crowd, draw);
	crowd.at(300 + draw(longestTroubleMs), () => {
		end();
		crowd.calm();
	});
};

const pick = (crowd: StoreCrowd, draw: Draw): string => [...crowd.entries.keys()][draw(crowd.entries.size)];

const stirs: readonly Stir[] = [
	crowd => {
		crowd.configure();
	},
	(crowd, _draw, turn) => {
		crowd.register(`stirred-${turn}`);
	},
	(crowd, draw) => {
		const [id] = crowd.listStaying().slice(draw(3));
		if (id !== undefined) {
			crowd.leave(id);
			crowd.at(1500 + draw(1500), () => {
				crowd.remove(id);
			});
		}
	},
	crowd => {
		crowd.store.compact();
	},
	crowd => {
		crowd.store.takeCopy();
	},
	trouble((crowd, draw) => {
		const id = pick(crowd, draw);
		crowd.withoutStore.add(id);
		crowd.setFault('none');
		return () => {
			crowd.withoutStore.delete(id);
			crowd.setFault('none');
		};
	}),
	trouble((crowd, draw) => {
		const {address} = crowd.entries.get(pick(crowd, draw))!;
		crowd.cutOff.add(address);
		return () => {
			crowd.cutOff.delete(address);
		};
	}),
	trouble(crowd => {
		crowd.storeMs = slowMs;
		return () => {
			crowd.storeMs = usualMs;
		};
	}),
	trouble(crowd => {
		crowd.lostShare = lostShare;
		return () => {
			crowd.lostShare = 0;
		};
	}),
	trouble((crowd, draw) => {
		const id = pick(crowd, draw);
		crowd.kill(id);
		return () => {
			crowd.start(`${id}+`);
		};
	}),
];

/** Mixes drills of the store with changes and other trouble, drawn by a seed, and ends in calm. */
export async function stirStore(crowd: StoreCrowd, seed: number, ms: number): Promise<void> {
	const generator = xoroshiro128plus(seed);
	const draw: Draw = count => Math.floor(uniformFloat64(generator) * count);
	for (let turn = 0; crowd.now < ms; turn++) {
		await crowd.pass(10 + draw(longestPauseMs));
		const isDrill = draw(8) === 0;
		if (isDrill) {
			await crowd.drill({awayMs: draw(2) * draw(longestTroubleMs), rewriteMs: draw(longestRewriteMs), isSilent: draw(3) === 0});
		} else {
			stirs[draw(stirs.length)](crowd, draw, turn);
		}
	}

	await crowd.pass(longestTroubleMs + calmMs);
}
