#!/usr/bin/env node
import {runOperatorClient} from './operator_client.ts';

process.exitCode = await runOperatorClient(process.argv.slice(2), {
  write: line => process.stdout.write(`${line}\n`),
  writeError: line => process.stderr.write(`${line}\n`),
});
