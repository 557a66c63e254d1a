/** The order in which waiting requests get permits, and immediate rejections of requests that would get one too late. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { PermitQueue, type PermitAcquisition } from "../../requests/PermitQueue.js";
import { RequestDemand } from "../../requests/RequestDemand.js";

const longMs = 60_000;

class QueueFixture {
  readonly demand = new RequestDemand();
  readonly served: string[] = [];
  permits = 0;
  intervalMs = 100;
  readonly queue = new PermitQueue(this.demand, {
    getWaitMs: (_service, ahead) => (ahead + 1) * this.intervalMs,
  });

  acquire(name: string, changes: Partial<PermitAcquisition<string>> = {}): Promise<string | undefined> {
    return this.queue.acquire({
      service: "records",
      priority: 1,
      accountName: "farm",
      maxWaitMs: longMs,
      signal: new AbortController().signal,
      tryAcquire: () => (this.permits > 0 ? this._take(name) : undefined),
      ...changes,
    });
  }

  async grant(count: number): Promise<void> {
    this.permits += count;
    this.demand.notePermits("records", count);
    await utils.yieldToEvents();
  }

  private _take(name: string): string {
    this.permits -= 1;
    this.served.push(name);
    return name;
  }
}

test("requests are served by priority, then round robin over the accounts, then by arrival", async (t) => {
  const fixture = new QueueFixture();
  const acquired = [
    fixture.acquire("farm-1"),
    fixture.acquire("farm-2"),
    fixture.acquire("dairy-1", { accountName: "dairy" }),
    fixture.acquire("urgent", { priority: 0, accountName: "hall" }),
  ];
  for (let count = 0; count < acquired.length; count++) await fixture.grant(1);
  await Promise.all(acquired);
  t.deepEqual(fixture.served, ["urgent", "farm-1", "dairy-1", "farm-2"]);
});

test("a later request takes no permit before the waiting ones", async (t) => {
  const fixture = new QueueFixture();
  const first = fixture.acquire("first");
  fixture.permits = 1;
  const second = fixture.acquire("second");
  await fixture.grant(0);
  await fixture.grant(1);
  await Promise.all([first, second]);
  t.deepEqual(fixture.served, ["first", "second"]);
});

test("a request whose expected wait exceeds its maximum wait is rejected immediately", async (t) => {
  const fixture = new QueueFixture();
  const first = fixture.acquire("first");
  t.is(await fixture.acquire("second", { maxWaitMs: 150 }), undefined);
  await fixture.grant(1);
  t.is(await first, "first");
});

test("a request whose caller disconnects takes no permit", async (t) => {
  const fixture = new QueueFixture();
  const disconnect = new AbortController();
  const first = fixture.acquire("first", { signal: disconnect.signal });
  disconnect.abort();
  t.is(await first, undefined);
  const second = fixture.acquire("second");
  await fixture.grant(1);
  t.is(await second, "second");
});

// Guards against requests that wait until their deadline although no permit is expected before it.
test("a waiting request is rejected as soon as its turn would come too late", async (t) => {
  const fixture = new QueueFixture();
  const first = fixture.acquire("first");
  const second = fixture.acquire("second");
  fixture.intervalMs = longMs / 2;
  await fixture.grant(0);
  t.is(await second, undefined);
  await fixture.grant(1);
  t.is(await first, "first");
});
