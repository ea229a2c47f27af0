import {closeSync, mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {LineWriter} from './mod.ts';

let directory: string;
let file: string;
let descriptor: number;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'line-writer-'));
  file = join(directory, 'log');
  descriptor = openSync(file, 'w');
});

afterEach(() => {
  closeSync(descriptor);
  rmSync(directory, {recursive: true});
});

describe('LineWriter', () => {
  const cases = [
    {name: 'no line', lines: []},
    {name: 'one line', lines: ['first']},
    {name: 'lines queued during a write', lines: ['first', 'second', 'third']},
  ];
  // Guards against the loss of the last log lines when the process exits.
  test.each(cases)('flushed waits for $name', async ({lines}) => {
    const writer = new LineWriter({descriptor});
    for (const line of lines) writer.write(line);
    await writer.flushed();
    const written = readFileSync(file, 'utf8');
    expect(written).toBe(lines.map(line => `${line}\n`).join(''));
  });
});
