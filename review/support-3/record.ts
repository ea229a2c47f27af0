import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** Exit codes of a case. */
export const VERDICTS = {held: 0, broken: 1, notRun: 2} as const;

/** What was sent, answered and run in a case, with the time since its start. */
export class CaseRecord {
  private readonly startedAt = Date.now();
  private readonly lines: string[] = [];

  constructor(private readonly file: string) {}

  /** Adds a line. */
  add(line: string): void {
    const seconds = (Date.now() - this.startedAt) / 1000;
    this.lines.push(`${seconds.toFixed(3)} ${line}`);
  }

  /** Milliseconds since the start. */
  at(time: number): string {
    return `${((time - this.startedAt) / 1000).toFixed(3)} s`;
  }

  /** Writes all lines. */
  write(): void {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Whether the case is to be played with its disruption. */
export const HAS_TROUBLE = process.env['TROUBLE'] !== '0';

/**
 * Runs a case, writes its record and ends the process with its verdict. The case gets at
 * most 115 seconds.
 */
export async function runCase(
  play: (record: CaseRecord) => Promise<boolean>,
): Promise<void> {
  const record = new CaseRecord(process.argv[2] ?? 'record.txt');
  record.add(HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => process.exit(VERDICTS.notRun));
  let verdict: number = VERDICTS.notRun;
  const tooLong = setTimeout(() => {
    record.add('the case took too long');
    record.write();
    process.exit(VERDICTS.notRun);
  }, 115_000);
  try {
    verdict = (await play(record)) ? VERDICTS.broken : VERDICTS.held;
  } catch (error) {
    record.add(`could not run: ${String(error)}`);
  }
  clearTimeout(tooLong);
  record.add(`verdict ${verdict}`);
  record.write();
  process.stdout.write(`verdict ${verdict}\n`);
  process.exit(verdict);
}
