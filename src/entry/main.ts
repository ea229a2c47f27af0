import {ProcessSignals} from '../signals/mod.ts';

// Loading the program takes longer than Node.js needs to start.
const signals = new ProcessSignals();
const {runEntry} = await import('./run_entry.ts');
await runEntry(signals);
