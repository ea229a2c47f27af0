#!/usr/bin/env node
import {ProcessSignals} from '../signals/mod.ts';

// Loading the program takes longer than Node.js needs to start.
const signals = new ProcessSignals();
const {runDaemon} = await import('./run_daemon.ts');
await runDaemon(signals);
