/** Why a change cannot be applied to a version of the authority. */
export type ChangeRejection =
  | {
      readonly kind: 'revision_conflict';
      readonly entity: string;
      readonly expected: number | null;
      readonly actual: number | null;
    }
  | {readonly kind: 'not_found'; readonly entity: string}
  | {
      /**
       * Another entity refers to it, or it refers to a missing or unsuitable
       * one.
       */
      readonly kind: 'invalid_reference';
      readonly entity: string;
      readonly reference: string;
    }
  | {readonly kind: 'already_exists'; readonly entity: string}
  | {
      /** An earlier change of the member list is not in effect yet. */
      readonly kind: 'member_change_pending';
      readonly memberVersion: number;
    }
  | {
      readonly kind: 'epoch_conflict';
      readonly scope: string;
      readonly expected: number;
      readonly actual: number;
    };

/** Describes in a sentence why a change was rejected. */
export function describeRejection(rejection: ChangeRejection): string {
  switch (rejection.kind) {
    case 'revision_conflict':
      return `The ${rejection.entity} has revision ${rejection.actual ?? 'none'}, expected ${rejection.expected ?? 'none'}`;
    case 'not_found':
      return `The ${rejection.entity} does not exist`;
    case 'invalid_reference':
      return `The ${rejection.entity} conflicts with the ${rejection.reference}`;
    case 'already_exists':
      return `The ${rejection.entity} exists already`;
    case 'member_change_pending':
      return `The member change at version ${rejection.memberVersion} is not in effect yet`;
    case 'epoch_conflict':
      return `The lease of ${rejection.scope} has epoch ${rejection.actual}, expected ${rejection.expected}`;
  }
}
