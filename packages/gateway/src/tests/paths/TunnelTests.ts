/** Tests of the connections that a peer forwards: over real sockets, with memberships that deliver messages in memory. */
import * as http from "node:http";
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import { errors, results, utils } from "@shedtiller/common";
import type { NoticeHandler, RequestHandler, UpgradeHandler } from "@shedtiller/membership";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { Connection } from "../../http/Connector.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { connectDirectly } from "../../paths/connectDirectly.js";
import { EndpointPaths } from "../../paths/EndpointPaths.js";
import { TunnelClient, type TunnelFailure } from "../../paths/TunnelClient.js";
import { TunnelServer } from "../../paths/TunnelServer.js";
import { ticketHeader, tunnelPath } from "../../paths/tunnelMessages.js";
import { toMember } from "../peers/toMember.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";

const host = "127.0.0.1";
const maxWaitMs = 30_000;

interface TunnelPair {
  readonly client: TunnelClient;
  readonly server: TunnelServer;
  readonly paths: EndpointPaths;
  /** Address of the endpoint. */
  readonly address: string;
  readonly peerPort: number;
  /** Whether the peer has an open link to the instance, whether its notices arrive, and how many requests to it fail from now on. */
  readonly linkState: { isLinked: boolean; deliversNotices: boolean; failedRequests: number };
  /** Connections at the endpoint. */
  readonly accepted: net.Socket[];
  /** Replaces the link between the instance and the peer. */
  readonly relink: () => void;
  /** Ends the process of the peer: its connections close, and it answers nothing any more. */
  readonly killPeer: () => void;
}

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, host, () => resolve((server.address() as net.AddressInfo).port));
  });
}

/** Creates an instance, one peer that is not in its registry, and an endpoint. */
async function createPair(t: ExecutionContext): Promise<TunnelPair> {
  const accepted: net.Socket[] = [];
  const endpoint = net.createServer((socket) => {
    socket.on("error", () => undefined);
    accepted.push(socket);
  });
  const address = `${host}:${await listen(endpoint)}`;
  const endpoints = new EndpointTable();
  endpoints.setAll(new Map([["e", createListed("e", { address })]]));
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const paths = new EndpointPaths({ endpoints, log });
  const requestHandlers = new Map<string, RequestHandler>();
  const upgradeHandlers = new Map<string, UpgradeHandler>();
  const noticeHandlers = new Map<string, NoticeHandler>();
  const linkedListeners: (() => void)[] = [];
  const sockets = new Set<net.Socket>();
  const listener = http.createServer();
  listener.on("connection", (socket: net.Socket) => sockets.add(socket));
  listener.on("upgrade", (request, socket, head) =>
    upgradeHandlers.get(request.url ?? "")?.(request, socket, head),
  );
  const peerPort = await listen(listener);
  const self = { name: "front-1", availabilityZone: "east" };
  const peer = { ...toMember({ name: "front-2", availabilityZone: "east" }), address: "" };
  const linkState = { isLinked: true, deliversNotices: false, failedRequests: 0 };
  const server = new TunnelServer({
    membership: {
      onRequest: (topic, handler) => void requestHandlers.set(topic, handler),
      onUpgrade: (path, handler) => void upgradeHandlers.set(path, handler),
      notifyAll: (topic, body, isRecipient = () => true) => {
        if (linkState.deliversNotices && isRecipient(toMember(self))) noticeHandlers.get(topic)?.(body, peer);
      },
      onLinked: (listener) => void linkedListeners.push(() => listener(self)),
      hasOpenLink: () => linkState.isLinked,
    },
    peerAddress: `${host}:${peerPort}`,
    endpoints,
    paths,
    log,
  });
  const client = new TunnelClient({
    membership: {
      self,
      getLinked: () => [peer],
      // The requester registers the link before it reads what the peer sends over it.
      onLinked: (listener) => void linkedListeners.unshift(() => listener(peer)),
      onNotice: (topic, handler) => void noticeHandlers.set(topic, handler),
      request: async (name, topic, body) => {
        const handler = requestHandlers.get(topic);
        const isLost = linkState.failedRequests > 0;
        if (isLost) linkState.failedRequests -= 1;
        if (handler === undefined || isLost) return results.Err(new errors.ConnectionLostError(name));
        return results.Ok(await handler(body, self));
      },
    },
  });
  const relink = (): void => {
    for (const listener of linkedListeners) listener();
  };
  const killPeer = (): void => {
    requestHandlers.clear();
    for (const socket of sockets) socket.destroy();
  };
  t.teardown(() => {
    server.close();
    for (const socket of [...sockets, ...accepted]) socket.destroy();
    listener.close();
    endpoint.close();
  });
  return { client, server, paths, address, peerPort, accepted, linkState, relink, killPeer };
}

async function open(pair: TunnelPair): Promise<Connection> {
  const opened = await pair.client.open(pair.address);
  if (opened.err) throw new errors.InvariantError(`No tunnel: ${opened.val.join(", ")}`);
  opened.val.socket.on("error", () => undefined);
  return opened.val;
}

async function getFailure(pair: TunnelPair, address = pair.address): Promise<TunnelFailure | undefined> {
  const opened = await pair.client.open(address);
  return opened.ok ? undefined : opened.val;
}

test("a tunnel forwards bytes in both directions, through a peer whose address is not registered", async (t) => {
  const pair = await createPair(t);
  const { socket } = await open(pair);
  const [endpointSocket] = pair.accepted as [net.Socket];
  endpointSocket.once("data", (data) => endpointSocket.write(`answer to ${data.toString()}`));
  socket.write("question");
  const answer = await new Promise((resolve) => socket.once("data", (data) => resolve(data.toString())));
  t.is(answer, "answer to question");
  t.is(pair.server.carried, 1);
});

test("the endpoint's connection closes when the requester closes the tunnel", async (t) => {
  const pair = await createPair(t);
  const { socket } = await open(pair);
  const [endpointSocket] = pair.accepted as [net.Socket];
  endpointSocket.resume();
  const isClosed = new Promise((resolve) => endpointSocket.once("close", resolve));
  socket.destroy();
  await isClosed;
  t.true(await utils.waitUntil(() => pair.server.carried === 0, maxWaitMs));
});

// Guards against endpoints that work on because the peer waits for a requester that has left to read.
test("the endpoint's connection closes when a requester leaves that has not read what has arrived", async (t) => {
  const pair = await createPair(t);
  const { socket } = await open(pair);
  socket.pause();
  const [endpointSocket] = pair.accepted as [net.Socket];
  endpointSocket.on("error", () => undefined);
  endpointSocket.resume();
  const isClosed = new Promise((resolve) => endpointSocket.once("close", resolve));
  const chunk = Buffer.alloc(64 * 1024);
  while (endpointSocket.writableLength < 1024 * 1024) {
    endpointSocket.write(chunk);
    await utils.yieldToEvents();
  }
  socket.destroy();
  await isClosed;
  t.true(await utils.waitUntil(() => pair.server.carried === 0, maxWaitMs));
});

test("a requester that does not read holds up the endpoint", async (t) => {
  const pair = await createPair(t);
  const { socket } = await open(pair);
  socket.pause();
  const [endpointSocket] = pair.accepted as [net.Socket];
  const chunk = Buffer.alloc(64 * 1024);
  let sentBytes = 0;
  while (endpointSocket.writableLength < 1024 * 1024) {
    endpointSocket.write(chunk);
    sentBytes += chunk.length;
    await utils.yieldToEvents();
  }
  let receivedBytes = 0;
  socket.on("data", (data) => (receivedBytes += data.length));
  socket.resume();
  t.true(await utils.waitUntil(() => receivedBytes === sentBytes, maxWaitMs));
});

// Guards against an answer without a length that looks complete although the connection was cut.
test("the end of a tunnel counts as the server's only if the peer says so", async (t) => {
  const pair = await createPair(t);
  const getEnd = async (end: (endpointSocket: net.Socket) => void): Promise<boolean> => {
    const { socket, path } = await open(pair);
    socket.resume();
    const isClosed = new Promise((resolve) => socket.once("close", resolve));
    end(pair.accepted.at(-1) as net.Socket);
    await isClosed;
    return path !== undefined && pair.client.wasClosedByServer(path);
  };
  t.true(await getEnd((endpointSocket) => endpointSocket.end("the rest")));
  t.false(await getEnd((endpointSocket) => endpointSocket.resetAndDestroy()));
  t.false(await getEnd(() => pair.killPeer()));
});

// Guards against a whole answer without a length that counts as cut since the link to the peer is replaced at its end.
test("the end of a tunnel is asked for again while there is no link to the peer", async (t) => {
  const pair = await createPair(t);
  const { socket, path } = await open(pair);
  socket.resume();
  const isClosed = new Promise((resolve) => socket.once("close", resolve));
  pair.accepted[0]?.end("the rest");
  await isClosed;
  pair.linkState.failedRequests = 2;
  t.true(path !== undefined && (await pair.client.wasClosedByServer(path)));
  t.is(pair.linkState.failedRequests, 0);
});

test("a peer forwards no connection over a path that it has lost itself, to an unknown address, or while it stops", async (t) => {
  const pair = await createPair(t);
  t.deepEqual(await getFailure(pair, `${host}:1`), ["unknown"]);
  pair.paths.noteLost(pair.address, "unanswered", "front-3");
  t.deepEqual(await getFailure(pair), ["no-path"]);
  pair.paths.noteDirect(pair.address);
  pair.server.leave();
  t.deepEqual(await getFailure(pair), ["leaving"]);
  t.is(pair.accepted.length, 0);
});

// Guards against requests that are sent through a peer that stops, and end unanswered at its stop deadline.
test("a peer that stops takes no further requests over its tunnels, even if the link to it is replaced", async (t) => {
  const pair = await createPair(t);
  pair.linkState.deliversNotices = true;
  await open(pair);
  t.false(pair.client.isLeaving("front-2"));
  pair.server.leave();
  t.true(pair.client.isLeaving("front-2"));
  pair.relink();
  t.true(pair.client.isLeaving("front-2"));
});

test("a connection without a valid ticket is rejected", async (t) => {
  const pair = await createPair(t);
  const status = await new Promise((resolve) => {
    const headers = { Connection: "Upgrade", Upgrade: "shedtiller-tunnel", [ticketHeader]: "guessed" };
    const request = http.get({ host, port: pair.peerPort, path: tunnelPath, headers, agent: false });
    request.once("response", (response) => {
      response.resume();
      resolve(response.statusCode);
    });
  });
  t.is(status, 404);
});

// Guards against endpoints that go on working for an instance that has lost power.
test("a tunnel ends once its requester has had no link for a while", async (t) => {
  const pair = await createPair(t);
  await open(pair);
  const [endpointSocket] = pair.accepted as [net.Socket];
  endpointSocket.resume();
  const isClosed = new Promise((resolve) => endpointSocket.once("close", resolve));
  pair.linkState.isLinked = false;
  pair.server.closeOrphans();
  pair.linkState.isLinked = true;
  pair.server.closeOrphans();
  t.is(pair.server.carried, 1, "a link that is replaced ends nothing");
  pair.linkState.isLinked = false;
  pair.server.closeOrphans();
  pair.server.closeOrphans();
  await isClosed;
});

// Guards against the end of the process by a reset of a connection that no request uses at that moment.
test("a connection that is reset before it is used ends nothing but itself", async (t) => {
  const pair = await createPair(t);
  const tunnel = await pair.client.open(pair.address);
  const direct = await connectDirectly(pair.address, maxWaitMs);
  if (tunnel.err || direct.err) return t.fail();
  const sockets = [tunnel.val.socket, direct.val];
  const areClosed = sockets.map((socket) => new Promise((resolve) => socket.once("close", resolve)));
  for (const socket of sockets) socket.resume();
  t.true(await utils.waitUntil(() => pair.accepted.length === 2, maxWaitMs));
  for (const endpointSocket of pair.accepted) endpointSocket.resetAndDestroy();
  await Promise.all(areClosed);
  t.true(sockets.every((socket) => socket.destroyed));
});
