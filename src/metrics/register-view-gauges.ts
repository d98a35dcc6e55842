import {Gauge, type Registry} from 'prom-client';
import {type StoreView} from '../view/store-view.js';

/**
 * Registers gauges of the staleness of a process's view of the store. If the view is stuck, its age and its dropped answers grow.
 *
 * @param getView - the current view; undefined before there is one
 * @param readClock - the present time on the clock that the view uses, milliseconds
 */
export function registerViewGauges(registry: Registry, getView: () => StoreView | undefined, readClock: () => number): void {
	const addGauge = (name: string, help: string, read: (view: StoreView) => number): void => {
		const gauge: Gauge = new Gauge({
			name,
			help,
			registers: [registry],
			collect() {
				const view = getView();
				if (view) {
					gauge.set(read(view));
				}
			},
		});
	};

	addGauge('wardswitch_store_era', 'Era of the store that this process goes by; it rises each time the store comes back from an older copy', view => view.asOf.era);
	addGauge('wardswitch_view_revision', 'Revision of the store that this process goes by', view => view.asOf.number);
	addGauge(
		'wardswitch_view_age_seconds',
		'Time since this process last heard all that the store holds, seconds',
		view => Math.min(Number.MAX_SAFE_INTEGER, view.getAge(readClock())) / 1000,
	);
	addGauge('wardswitch_view_call_seconds', 'Time for which the current call to the store has been waiting for its answer, seconds', view => view.getCallMs(readClock()) / 1000);
	addGauge('wardswitch_view_dropped_answers', 'Answers of the store from before what this process knew, since its start', view => view.droppedAnswers);
	addGauge('wardswitch_view_retained_keys', 'Keys on which this process goes on with what it knew against what the store holds', view => view.retainedKeys);
}
