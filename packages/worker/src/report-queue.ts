/** Queue of reports for a mailbox that may be full. Keeps their order and loses none. */

import type { MailboxAddress, PostResult } from '@bamboowell/kernel/mailbox';

export class ReportQueue<Report> {
  private waiting: Report[] = [];

  constructor(private readonly target: MailboxAddress<Report>) {}

  get size(): number {
    return this.waiting.length;
  }

  add(report: Report): void {
    this.waiting.push(report);
    this.flush();
  }

  /** Posts reports until the mailbox is full. Reports to a stopped target are dropped. */
  flush(): void {
    let next = 0;
    for (; next < this.waiting.length; next += 1) {
      if (this.post(next) === 'full') {
        break;
      }
    }
    this.waiting = this.waiting.slice(next);
  }

  private post(index: number): PostResult {
    const report = this.waiting[index];
    return report === undefined ? 'stopped' : this.target.post(report);
  }
}
