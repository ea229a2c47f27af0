import {type EventDefinition, EVENTS} from './events.ts';

/** Topic names by event number divided by 100. */
const TOPICS: Readonly<Record<number, string>> = {
  1: 'Process',
  2: 'Configuration and platform',
  3: 'Membership and leases',
  4: 'Limits',
  5: 'Placement',
  6: 'Routing',
  7: 'Requests',
  8: 'Peers',
};

const INTRODUCTION = `# Log events

Generated from \`src/observability/events.ts\` by \`npm run docs\`; do not edit.

Each line of the log is one JSON object with the number of the event as \`event\` and its name as \`name\`. Numbers are never reused.
`;

/** Renders the event catalogue as Markdown, for docs/events.md. */
export function renderEventCatalogue(): string {
  const events = Object.entries<EventDefinition>(EVENTS).sort(
    ([, left], [, right]) => left.number - right.number,
  );
  const parts = [INTRODUCTION];
  for (const topic of new Set(events.map(([, event]) => topicOf(event)))) {
    const lines = events
      .filter(([, event]) => topicOf(event) === topic)
      .map(
        ([name, {number, level, message}]) =>
          `- ${number} \`${name}\` (${level}): ${message}`,
      );
    parts.push(`## ${topic}\n\n${lines.join('\n')}\n`);
  }
  return parts.join('\n');
}

function topicOf(event: EventDefinition): string {
  return TOPICS[Math.floor(event.number / 100)] ?? 'Other';
}
