import {After, setDefaultTimeout, setWorldConstructor} from '@cucumber/cucumber';
import {SystemWorld} from './system-world.js';

setDefaultTimeout(30_000);
setWorldConstructor(SystemWorld);

After(async function (this: SystemWorld) {
	await this.close();
});
