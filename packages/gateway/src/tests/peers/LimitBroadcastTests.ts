/** Tests that limits which endpoints name reach the other instances with the age that they have at their arrival. */
import test from "ava";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LimitBroadcast } from "../../peers/LimitBroadcast.js";
import { PeerClocks } from "../../peers/PeerClocks.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";
import { PeerNetwork } from "./PeerNetwork.js";

const heldUpMs = 12_000;

class Zone {
  nowMs = 1_000;
  readonly network = new PeerNetwork();

  join(name: string) {
    const nowMs = (): number => this.nowMs;
    const membership = this.network.join({ name, availabilityZone: "east" });
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const endpoints = new EndpointTable(nowMs);
    endpoints.setAll(new Map([["e", createListed("e")]]));
    const limits = new EndpointLimits({ log, nowMs });
    const clocks = new PeerClocks({ membership, log, nowMs, steadyMs: nowMs });
    new LimitBroadcast({ membership, endpoints, limits, clocks, log, nowMs });
    const state = (perSecond: number): void => {
      const endpoint = endpoints.get("e");
      if (endpoint !== undefined) limits.noteAnswer(endpoint, { kind: "named", perSecond }, this.nowMs);
    };
    return { clocks, state, getLimit: () => endpoints.get("e")?.limit?.perSecond };
  }
}

// Guards against an endpoint that gets more requests than it allows since a cut has held up the notice of its earlier, higher limit.
test("a higher limit that was held up does not replace a lower one that the endpoint has named since", async (t) => {
  const zone = new Zone();
  const sender = zone.join("a");
  const receiver = zone.join("b");
  await receiver.clocks.ask("a");
  const held: (() => void)[] = [];
  zone.network.hold("b", held);
  sender.state(50);
  zone.nowMs += heldUpMs / 2;
  receiver.state(2);
  zone.nowMs += heldUpMs / 2;
  t.is(held.length, 1);
  held[0]?.();
  t.is(receiver.getLimit(), 2);
});

test("a higher limit that arrives at once replaces a lower one", async (t) => {
  const zone = new Zone();
  const sender = zone.join("a");
  const receiver = zone.join("b");
  await receiver.clocks.ask("a");
  receiver.state(2);
  zone.nowMs += 1_000;
  sender.state(50);
  t.is(receiver.getLimit(), 50);
});
