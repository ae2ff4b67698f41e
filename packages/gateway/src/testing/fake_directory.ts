import {fail, ok} from '@pistachiorill/core';
import {MemberDirectory} from '../ports/member_directory.js';
import type {ListedMember} from '../ports/member_directory.js';

/** The list of members in a store, which may be unavailable. */
export class FakeDirectory extends MemberDirectory {
  state: 'answers' | 'away' | 'throws' = 'answers';
  reads = 0;

  constructor(public members: readonly ListedMember[]) {
    super();
  }

  override async list() {
    this.reads++;
    if (this.state === 'answers') return ok(this.members);
    if (this.state === 'throws') throw new TypeError('unexpected entry');
    return fail({kind: 'unavailable' as const, detail: 'away'});
  }
}
