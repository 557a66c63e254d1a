/** One authenticated link to a peer: requests with replies, and notices. */
import * as crypto from "node:crypto";
import { errors, results, utils } from "@shedtiller/common";
import { Packr } from "msgpackr";
import * as ws from "ws";
import { peerFrameSchema, type PeerFrame } from "./peerFrames.js";

const packr = new Packr({ useRecords: false });
const handshakeTimeoutMs = 2_000;
const nonceBytes = 18;

/** Who is at the other end. */
export interface PeerIdentity {
  readonly name: string;
  readonly availabilityZone: string;
}

/** The peer is not who it must be, or broke the protocol. */
export class PeerRejectedError extends errors.ShedtillerError {
  readonly code = "peer_rejected";

  constructor(
    readonly address: string,
    readonly reason: string,
  ) {
    super(`The peer at ${address} was rejected: ${reason}.`);
  }
}

/** Failures of a request to a peer. */
export type PeerError = errors.ConnectionLostError | errors.DeadlineError;

/** What a link hands to its owner. */
export interface PeerLinkEvents {
  onRequest(link: PeerLink, topic: string, body: unknown): Promise<unknown>;
  onNotice(link: PeerLink, topic: string, body: unknown): void;
  onClosed(link: PeerLink): void;
  /** Bytes that went over the wire, for the control metrics. */
  onTraffic(direction: "sent" | "received", topic: string, sizeBytes: number): void;
}

/** A link that stands and is authenticated. */
export class PeerLink {
  /** Monotonic milliseconds when the peer was last heard. */
  heardAtMs = utils.monotonicMs();
  private _nextId = 1;
  private readonly _waiting = new Map<
    number,
    { topic: string; done: utils.Deferred<results.Result<unknown, PeerError>> }
  >();
  private _isClosed = false;

  constructor(
    readonly peer: PeerIdentity,
    /** Whether this side opened the connection. */
    readonly isDialled: boolean,
    private readonly _socket: ws.WebSocket,
    private readonly _events: PeerLinkEvents,
  ) {
    _socket.on("message", (data) => this._accept(data));
    _socket.on("close", () => this._close());
    _socket.on("error", () => this._close());
  }

  get isOpen(): boolean {
    return !this._isClosed && this._socket.readyState === ws.WebSocket.OPEN;
  }

  /** Asks the peer and waits for its reply. */
  async request(
    topic: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown, PeerError>> {
    if (!this.isOpen) return results.Err(new errors.ConnectionLostError(this.peer.name));
    const id = this._nextId++;
    const done = new utils.Deferred<results.Result<unknown, PeerError>>();
    this._waiting.set(id, { topic, done });
    const timer = setTimeout(
      () => done.resolve(results.Err(new errors.DeadlineError(`${topic} at ${this.peer.name}`, timeoutMs))),
      timeoutMs,
    );
    this._send({ kind: "request", id, topic, body });
    const reply = await done.promise;
    clearTimeout(timer);
    this._waiting.delete(id);
    return reply;
  }

  /** Tells the peer something, without a reply. */
  notify(topic: string, body: unknown): void {
    if (this.isOpen) this._send({ kind: "notice", topic, body });
  }

  close(): void {
    this._socket.terminate();
    this._close();
  }

  private _send(frame: PeerFrame): void {
    const encoded = packr.pack(frame);
    this._events.onTraffic("sent", "topic" in frame ? frame.topic : frame.kind, encoded.byteLength);
    this._socket.send(encoded);
  }

  private _accept(data: ws.RawData): void {
    const frame = decodePeerFrame(data);
    if (frame.err) return this.close();
    this.heardAtMs = utils.monotonicMs();
    this._events.onTraffic("received", getTopic(frame.val, this._waiting), byteLength(data));
    switch (frame.val.kind) {
      case "request":
        return void this._answer(frame.val.id, frame.val.topic, frame.val.body);
      case "reply":
        return this._waiting.get(frame.val.id)?.done.resolve(results.Ok(frame.val.body));
      case "notice":
        return this._events.onNotice(this, frame.val.topic, frame.val.body);
      default:
        return this.close();
    }
  }

  private async _answer(id: number, topic: string, body: unknown): Promise<void> {
    const reply = await this._events.onRequest(this, topic, body).catch(() => undefined);
    if (this.isOpen) this._send({ kind: "reply", id, body: reply });
  }

  private _close(): void {
    if (this._isClosed) return;
    this._isClosed = true;
    for (const { done } of this._waiting.values()) {
      done.resolve(results.Err(new errors.ConnectionLostError(this.peer.name)));
    }
    this._waiting.clear();
    this._events.onClosed(this);
  }
}

function getTopic(frame: PeerFrame, waiting: ReadonlyMap<number, { topic: string }>): string {
  if (frame.kind === "reply") return waiting.get(frame.id)?.topic ?? "reply";
  return "topic" in frame ? frame.topic : frame.kind;
}

function byteLength(data: ws.RawData): number {
  return data instanceof Buffer ? data.byteLength : 0;
}

/** Decodes and checks a frame from a peer. */
export function decodePeerFrame(data: unknown): results.Result<PeerFrame, errors.InvalidInputError> {
  if (!(data instanceof Uint8Array))
    return results.Err(new errors.InvalidInputError("peer", "sent a text frame"));
  try {
    const checked = peerFrameSchema.safeParse(packr.unpack(data));
    if (!checked.success) return results.Err(errors.fromSchemaIssues("peer frame", checked.error.issues));
    return results.Ok(checked.data);
  } catch (error) {
    return results.Err(
      new errors.InvalidInputError("peer", `sent a broken frame: ${errors.describeError(error)}`),
    );
  }
}

/** Opens a connection to a peer and proves both sides. */
export async function dialPeer(
  address: string,
  self: PeerIdentity,
  secret: string,
  events: PeerLinkEvents,
): Promise<results.Result<PeerLink, PeerRejectedError | errors.NotReachedError>> {
  const socket = new ws.WebSocket(`ws://${address}/peer`, {
    perMessageDeflate: false,
    handshakeTimeout: handshakeTimeoutMs,
    // One frame a turn, so that the frame after the handshake finds its listener.
    allowSynchronousEvents: false,
  });
  const frames = new FrameQueue(socket);
  const challenge = await frames.next();
  if (challenge === undefined) return fail(socket, new errors.NotReachedError(address));
  if (challenge.kind !== "challenge")
    return fail(socket, new PeerRejectedError(address, "it sent no challenge"));
  const nonce = createNonce();
  const proof = prove(secret, "dial", [challenge.nonce, nonce, self.name, self.availabilityZone]);
  socket.send(packr.pack({ kind: "hello", ...self, nonce, proof }));
  const welcome = await frames.next();
  if (welcome?.kind !== "welcome")
    return fail(socket, new PeerRejectedError(address, "it did not welcome us"));
  const expected = prove(secret, "accept", [nonce, challenge.nonce, welcome.name, welcome.availabilityZone]);
  if (!isEqual(expected, welcome.proof))
    return fail(socket, new PeerRejectedError(address, "its proof is wrong"));
  frames.stop();
  return results.Ok(new PeerLink(pickIdentity(welcome), true, socket, events));
}

/** Takes a connection from a peer and proves both sides. */
export async function acceptPeer(
  socket: ws.WebSocket,
  address: string,
  self: PeerIdentity,
  secret: string,
  events: PeerLinkEvents,
): Promise<results.Result<PeerLink, PeerRejectedError>> {
  const frames = new FrameQueue(socket);
  const nonce = createNonce();
  socket.send(packr.pack({ kind: "challenge", nonce }));
  const hello = await frames.next();
  if (hello?.kind !== "hello") return fail(socket, new PeerRejectedError(address, "it said no hello"));
  const expected = prove(secret, "dial", [nonce, hello.nonce, hello.name, hello.availabilityZone]);
  if (!isEqual(expected, hello.proof))
    return fail(socket, new PeerRejectedError(address, "its proof is wrong"));
  const proof = prove(secret, "accept", [hello.nonce, nonce, self.name, self.availabilityZone]);
  frames.stop();
  const link = new PeerLink(pickIdentity(hello), false, socket, events);
  socket.send(packr.pack({ kind: "welcome", ...self, proof }));
  return results.Ok(link);
}

/** Hands out the frames of the handshake one by one. */
class FrameQueue {
  private readonly _frames: (PeerFrame | undefined)[] = [];
  private _waiter: utils.Deferred<PeerFrame | undefined> | undefined;
  private readonly _timer: NodeJS.Timeout;
  private readonly _onMessage = (data: ws.RawData): void => {
    const frame = decodePeerFrame(data);
    this._add(frame.ok ? frame.val : undefined);
  };
  private readonly _onEnd = (): void => this._add(undefined);

  constructor(private readonly _socket: ws.WebSocket) {
    _socket.on("message", this._onMessage);
    _socket.on("close", this._onEnd);
    _socket.on("error", this._onEnd);
    this._timer = setTimeout(this._onEnd, handshakeTimeoutMs);
  }

  /** The next frame, or undefined when the handshake can't go on. */
  next(): Promise<PeerFrame | undefined> {
    if (this._frames.length > 0) return Promise.resolve(this._frames.shift());
    this._waiter = new utils.Deferred<PeerFrame | undefined>();
    return this._waiter.promise;
  }

  stop(): void {
    clearTimeout(this._timer);
    this._socket.off("message", this._onMessage);
    this._socket.off("close", this._onEnd);
    this._socket.off("error", this._onEnd);
  }

  private _add(frame: PeerFrame | undefined): void {
    const waiter = this._waiter;
    this._waiter = undefined;
    if (waiter === undefined) this._frames.push(frame);
    else waiter.resolve(frame);
  }
}

function fail<E>(socket: ws.WebSocket, error: E): results.Result<never, E> {
  socket.removeAllListeners();
  socket.on("error", () => undefined);
  socket.terminate();
  return results.Err(error);
}

function pickIdentity(identity: PeerIdentity): PeerIdentity {
  return { name: identity.name, availabilityZone: identity.availabilityZone };
}

function createNonce(): string {
  return crypto.randomBytes(nonceBytes).toString("base64url");
}

/** Keyed hash over the role and both nonces, so that a proof is of no use in another handshake or direction. */
function prove(secret: string, role: "dial" | "accept", parts: readonly string[]): string {
  return crypto
    .createHmac("sha256", secret)
    .update(JSON.stringify([role, ...parts]))
    .digest("base64url");
}

function isEqual(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && crypto.timingSafeEqual(left, right);
}
