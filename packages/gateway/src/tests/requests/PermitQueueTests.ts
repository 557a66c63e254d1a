/** Who gets a permit first, and who is told at once that none will come in time. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { PermitQueue, type PermitAcquisition } from "../../requests/PermitQueue.js";
import { RequestDemand } from "../../requests/RequestDemand.js";

const longMs = 60_000;

class Scene {
  readonly demand = new RequestDemand();
  readonly served: string[] = [];
  permits = 0;
  intervalMs = 100;
  readonly queue = new PermitQueue(this.demand, {
    getWaitMs: (_service, ahead) => (ahead + 1) * this.intervalMs,
  });

  ask(name: string, changes: Partial<PermitAcquisition<string>> = {}): Promise<string | undefined> {
    return this.queue.acquire({
      service: "records",
      priority: 1,
      accountName: "farm",
      maxWaitMs: longMs,
      signal: new AbortController().signal,
      tryTake: () => (this.permits > 0 ? this._take(name) : undefined),
      ...changes,
    });
  }

  async give(count: number): Promise<void> {
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

test("the most urgent goes first, then accounts in turn, then who came first", async (t) => {
  const scene = new Scene();
  const asked = [
    scene.ask("farm-1"),
    scene.ask("farm-2"),
    scene.ask("dairy-1", { accountName: "dairy" }),
    scene.ask("urgent", { priority: 0, accountName: "hall" }),
  ];
  for (let count = 0; count < asked.length; count++) await scene.give(1);
  await Promise.all(asked);
  t.deepEqual(scene.served, ["urgent", "farm-1", "dairy-1", "farm-2"]);
});

test("nobody who comes later takes a permit from those that wait", async (t) => {
  const scene = new Scene();
  const first = scene.ask("first");
  scene.permits = 1;
  const second = scene.ask("second");
  await scene.give(0);
  await scene.give(1);
  await Promise.all([first, second]);
  t.deepEqual(scene.served, ["first", "second"]);
});

test("who would wait for longer than it has is told so at once", async (t) => {
  const scene = new Scene();
  const first = scene.ask("first");
  t.is(await scene.ask("second", { maxWaitMs: 150 }), undefined);
  await scene.give(1);
  t.is(await first, "first");
});

test("a caller that leaves takes no permit with it", async (t) => {
  const scene = new Scene();
  const left = new AbortController();
  const first = scene.ask("first", { signal: left.signal });
  left.abort();
  t.is(await first, undefined);
  const second = scene.ask("second");
  await scene.give(1);
  t.is(await second, "second");
});

// Guards against requests that wait until their deadline though it is known that no permit comes before it.
test("who waits is refused as soon as its turn would come too late", async (t) => {
  const scene = new Scene();
  const first = scene.ask("first");
  const second = scene.ask("second");
  scene.intervalMs = longMs / 2;
  await scene.give(0);
  t.is(await second, undefined);
  await scene.give(1);
  t.is(await first, "first");
});
