import {Readable} from 'node:stream';
import {describe, expect, test} from 'vitest';
import {LineTooLongError, readLines} from './_read_lines.ts';

/** Length of a line of which the square of its length is too long to wait for. */
const LONG_LINE_LENGTH = 1024 * 1024;

async function collect(
  chunks: Iterable<Buffer>,
  maximumLength: number,
): Promise<string[]> {
  const lines: string[] = [];
  const body = Readable.from(chunks, {objectMode: true});
  for await (const line of readLines(body, maximumLength)) lines.push(line);
  return lines;
}

function* singleBytes(count: number): Generator<Buffer, void, undefined> {
  const chunk = Buffer.from('x');
  for (let index = 0; index < count; index++) yield chunk;
  yield Buffer.from('\n');
}

describe('readLines', () => {
  test.each([
    {name: 'lines', chunks: ['a\nb\n'], lines: ['a', 'b']},
    {name: 'a divided line', chunks: ['a', 'b\nc', '\n'], lines: ['ab', 'c']},
    {name: 'empty lines', chunks: ['\n\na\n'], lines: ['a']},
    {name: 'a line without an end', chunks: ['a\nb'], lines: ['a']},
    {
      name: 'a divided character',
      chunks: [
        Buffer.from('ä').subarray(0, 1),
        Buffer.from('ä').subarray(1),
        '\n',
      ],
      lines: ['ä'],
    },
  ])('returns $name', async ({chunks, lines}) => {
    expect(
      await collect(
        chunks.map(chunk => Buffer.from(chunk)),
        10,
      ),
    ).toEqual(lines);
  });

  test('refuses a line that is too long before it has ended', async () => {
    await expect(
      collect([Buffer.from('a\nbcd'), Buffer.from('efgh')], 6),
    ).rejects.toThrow(LineTooLongError);
  });

  // Guards against a daemon that stands still: the cost of a line grew with the square
  // of its length. Takes minutes then.
  test('a line in pieces of one byte takes no longer than its length', async () => {
    const [line] = await collect(
      singleBytes(LONG_LINE_LENGTH),
      LONG_LINE_LENGTH,
    );
    expect(line?.length).toBe(LONG_LINE_LENGTH);
  });
});
