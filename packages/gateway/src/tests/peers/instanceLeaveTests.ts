/** Tests, with real memberships on loopback, how the peers of an instance handle its planned stop. */
import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import { Membership } from "@shedtiller/membership";
import { Timeline } from "@shedtiller/timeline";
import test, { type ExecutionContext } from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { DrainingBroadcast } from "../../peers/DrainingBroadcast.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

const waitMs = 20_000;

async function createMembership(t: ExecutionContext, name: string): Promise<Membership> {
  const self = { name, availabilityZone: "east" };
  const secret = "the same secret";
  const timeline = new Timeline(name);
  const membership = new Membership({ self, secret, timeline, host: "127.0.0.1", port: 0 });
  const stop = new AbortController();
  await membership.listen();
  void membership.run(stop.signal);
  t.teardown(() => {
    stop.abort();
    membership.close();
  });
  return membership;
}

function addDrainingBroadcast(membership: Membership): void {
  new DrainingBroadcast({
    membership,
    endpoints: { noteDraining: () => false, getDrainingLives: () => [] },
    statements: { onDraining: () => undefined },
    log: new DecisionLog(new SilentLogOutput(), utils.monotonicMs),
  });
}

// Fails where the notices about endpoints that drain replace the handler of an instance's own leave notice: both have one topic.
test("an instance that leaves is no longer a candidate for zone roles at its peers", async (t) => {
  const stays = await createMembership(t, "a");
  const leaves = await createMembership(t, "b");
  addDrainingBroadcast(stays);
  const listed = [stays, leaves].map(({ self, port }): ListedInstance => {
    return { ...self, role: "entry", address: `127.0.0.1:${port}`, state: "live" };
  });
  for (const membership of [stays, leaves]) membership.setListed(listed);
  t.true(await utils.waitUntil(() => stays.getZoneRoleCandidates().length === listed.length, waitMs));
  leaves.leave();
  t.true(await utils.waitUntil(() => stays.getZoneRoleCandidates().length === 1, waitMs));
});
