import {expect, it} from 'vitest';
import type {PeerMessage} from '../peers/mod.ts';
import {TeamBorrower} from './_team_borrower.ts';

const EPOCH = 4;

/** Creates a borrower that requested at least 50 tokens at 0 ms. */
function createBorrower() {
  const sent: PeerMessage[] = [];
  const borrower = new TeamBorrower({
    team: 'team-1',
    viewTimeoutMilliseconds: 3000,
    idPrefix: 'run',
    send: (_, message) => {
      sent.push(message);
      return true;
    },
  });
  const ask = (at: number) =>
    borrower.requestLoan('owner', EPOCH, at, {
      tokens: 80,
      minimumTokens: 50,
      waitedMilliseconds: 0,
    });
  const grant = (at: number, id = 'run-1', epoch = EPOCH) =>
    borrower.acceptGrant(
      'owner',
      {
        kind: 'loan_grant',
        id,
        team: 'team-1',
        epoch,
        tokens: 80,
        validForMilliseconds: 1_000_000,
        retryAfterMilliseconds: 0,
      },
      at,
    );
  ask(0);
  return {borrower, sent, ask, grant};
}

type Created = ReturnType<typeof createBorrower>;

const CASES: {
  guardsAgainst: string;
  act: (created: Created) => unknown;
  /** Time and epoch at which the loan is checked. */
  at: number;
  epoch?: number;
  available: number;
  returned: number;
}[] = [
  {
    guardsAgainst: 'a loan that cannot be spent',
    act: ({grant}) => grant(2),
    at: 2800,
    available: 80,
    returned: 0,
  },
  {
    guardsAgainst: 'spending a loan one view timeout after its request',
    act: ({grant}) => grant(2900),
    at: 3000,
    available: 0,
    returned: 0,
  },
  {
    guardsAgainst: 'spending a loan of a former owner',
    act: ({grant}) => grant(2),
    at: 10,
    epoch: EPOCH + 1,
    available: 0,
    returned: 0,
  },
  {
    guardsAgainst: 'accepting a grant whose request was replaced',
    act: ({ask, grant}) => {
      ask(1500);
      grant(1600);
    },
    at: 1600,
    available: 0,
    returned: 2,
  },
  {
    guardsAgainst: 'accepting a duplicate grant',
    act: ({grant}) => {
      grant(2);
      grant(3);
    },
    at: 3,
    available: 80,
    returned: 1,
  },
  {
    guardsAgainst: 'spending a loan that was returned',
    act: ({borrower, grant}) => {
      grant(2);
      borrower.closeLoans(EPOCH, 400, () => false);
    },
    at: 400,
    available: 0,
    returned: 1,
  },
  {
    guardsAgainst: 'spending refunded tokens after their loan expired',
    act: ({borrower, grant}) => {
      grant(2);
      const [part] = borrower.take(80, EPOCH, 2);
      borrower.refund(part!.loan, 80, EPOCH, 3100);
    },
    at: 3100,
    available: 0,
    returned: 0,
  },
  {
    guardsAgainst: 'losing refunded tokens of a closed loan',
    act: ({borrower, grant}) => {
      grant(2);
      const [part] = borrower.take(80, EPOCH, 2);
      borrower.closeLoans(EPOCH, 10, () => true);
      borrower.refund(part!.loan, 30, EPOCH, 20);
      borrower.closeLoans(EPOCH, 25, () => true);
    },
    at: 25,
    available: 0,
    returned: 2,
  },
  {
    guardsAgainst: 'returning refunded tokens of a former owner to the new one',
    act: ({borrower, grant}) => {
      grant(2);
      const [part] = borrower.take(80, EPOCH, 2);
      borrower.refund(part!.loan, 80, EPOCH + 1, 20);
      borrower.closeLoans(EPOCH + 1, 25, () => true);
    },
    at: 25,
    epoch: EPOCH + 1,
    available: 0,
    returned: 0,
  },
];

it.each(CASES)(
  'prevents $guardsAgainst',
  ({act, at, epoch = EPOCH, available, returned}) => {
    const created = createBorrower();
    act(created);
    expect(created.borrower.available(epoch, at)).toBe(available);
    const spent = created.borrower.take(80, epoch, at);
    expect(spent.reduce((sum, part) => sum + part.tokens, 0)).toBe(available);
    const returns = created.sent.filter(({kind}) => kind === 'loan_return');
    expect(returns.length).toBe(returned);
  },
);
