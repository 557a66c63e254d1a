/** Tunnels between instances whose link is in doubt: memberships and connections are real. */
import * as net from "node:net";
import { utils } from "@shedtiller/common";
import { Membership } from "@shedtiller/membership";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { EndpointPaths } from "../../paths/EndpointPaths.js";
import { TunnelClient } from "../../paths/TunnelClient.js";
import { TunnelServer } from "../../paths/TunnelServer.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";

const host = "127.0.0.1";
const maxWaitMs = 30_000;

interface RunningMembership {
  readonly membership: Membership;
  /** Ends all periodic tasks; the instance sends no heartbeats any more, as if it were suspended. */
  readonly suspend: () => void;
}

async function createMembership(name: string): Promise<RunningMembership> {
  const self = { name, availabilityZone: "east" };
  const timeline = new Timeline(name);
  const membership = new Membership({ self, secret: "secret", timeline, host, port: 0 });
  await membership.listen();
  const stop = new AbortController();
  void membership.run(stop.signal);
  return { membership, suspend: () => stop.abort() };
}

// Guards against answers that are cut off since their requester was suspended for some seconds.
test("a tunnel goes on while the link to its requester is in doubt", async (t) => {
  const accepted: net.Socket[] = [];
  const endpoint = net.createServer((socket) => {
    accepted.push(socket);
    // A tunnel that is given up is reset.
    socket.on("error", () => undefined);
  });
  await new Promise<void>((resolve) => endpoint.listen(0, host, resolve));
  const address = `${host}:${(endpoint.address() as net.AddressInfo).port}`;
  const { membership: requester, suspend } = await createMembership("front-1");
  const { membership: peer, suspend: stopPeer } = await createMembership("front-2");
  const endpoints = new EndpointTable();
  endpoints.setAll(new Map([["e", createListed("e", { address })]]));
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const paths = new EndpointPaths({ endpoints, log });
  const peerAddress = `${host}:${peer.port}`;
  const server = new TunnelServer({ membership: peer, peerAddress, endpoints, paths, log });
  t.teardown(() => {
    stopPeer();
    server.close();
    for (const membership of [requester, peer]) membership.close();
    endpoint.close();
  });
  const client = new TunnelClient({ membership: requester });
  requester.setListed([{ ...peer.self, role: "entry", state: "live", address: peerAddress }]);
  t.true(await utils.waitUntil(() => requester.getLinked().length === 1, maxWaitMs));
  const opened = (await client.open(address)).unwrap();

  suspend();
  t.true(await utils.waitUntil(() => peer.getLinked().length === 0, maxWaitMs));
  server.closeOrphans();
  server.closeOrphans();
  t.true(await utils.waitUntil(() => accepted.length === 1, maxWaitMs));
  const received = new Promise((resolve) => {
    opened.socket.once("data", (data) => resolve(data.toString()));
    opened.socket.once("close", () => resolve("closed"));
  });
  accepted[0]?.write("the rest");
  t.is(await received, "the rest");
});
