/** Mutual authentication of peers: each side proves by an HMAC over both nonces that it has the fleet's shared secret. */
import * as crypto from "node:crypto";
import { errors, results, utils } from "@shedtiller/common";
import { Packr } from "msgpackr";
import * as ws from "ws";
import type { PeerFrame } from "./peerFrames.js";
import { decodePeerFrame, PeerLink, type PeerIdentity, type PeerLinkEvents } from "./PeerLink.js";

const packr = new Packr({ useRecords: false });
const handshakeTimeoutMs = 2_000;
const nonceBytes = 18;

/** The peer failed authentication or violated the handshake protocol. */
export class PeerRejectedError extends errors.ShedtillerError {
  readonly code = "peer_rejected";

  constructor(
    readonly address: string,
    readonly reason: string,
  ) {
    super(`The peer at ${address} was rejected: ${reason}.`);
  }
}

/** Connects to a peer and performs the mutual handshake as the dialling side. */
export async function dialPeer(
  address: string,
  self: PeerIdentity,
  secret: string,
  events: PeerLinkEvents,
): Promise<results.Result<PeerLink, PeerRejectedError | errors.NotReachedError>> {
  const socket = new ws.WebSocket(`ws://${address}/peer`, {
    perMessageDeflate: false,
    handshakeTimeout: handshakeTimeoutMs,
    // Delivers one frame per event loop turn, so that the listener for the frame after the handshake is attached in time.
    allowSynchronousEvents: false,
  });
  const frames = new FrameQueue(socket);
  const challenge = await frames.next();
  if (challenge === undefined) return fail(socket, new errors.NotReachedError(address));
  if (challenge.kind !== "challenge")
    return fail(socket, new PeerRejectedError(address, "it did not send a challenge"));
  const nonce = createNonce();
  const proof = computeProof(secret, "dial", [challenge.nonce, nonce, self.name, self.availabilityZone]);
  socket.send(packr.pack({ kind: "hello", ...self, nonce, proof }));
  const welcome = await frames.next();
  if (welcome?.kind !== "welcome")
    return fail(socket, new PeerRejectedError(address, "it did not send a welcome"));
  const expected = computeProof(secret, "accept", [
    nonce,
    challenge.nonce,
    welcome.name,
    welcome.availabilityZone,
  ]);
  if (!isEqual(expected, welcome.proof))
    return fail(socket, new PeerRejectedError(address, "its proof is wrong"));
  frames.stop();
  return results.Ok(new PeerLink(pickIdentity(welcome), true, socket, events));
}

/** Performs the mutual handshake as the accepting side on a new connection. */
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
  if (hello?.kind !== "hello") return fail(socket, new PeerRejectedError(address, "it did not send a hello"));
  const expected = computeProof(secret, "dial", [nonce, hello.nonce, hello.name, hello.availabilityZone]);
  if (!isEqual(expected, hello.proof))
    return fail(socket, new PeerRejectedError(address, "its proof is wrong"));
  const proof = computeProof(secret, "accept", [hello.nonce, nonce, self.name, self.availabilityZone]);
  frames.stop();
  const link = new PeerLink(pickIdentity(hello), false, socket, events);
  socket.send(packr.pack({ kind: "welcome", ...self, proof }));
  return results.Ok(link);
}

/** Buffers the frames of the handshake and returns them one by one. */
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

  /** Returns the next frame; undefined after a malformed frame, a closed connection or the handshake timeout. */
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

/** Computes an HMAC over the role, both nonces and the identity, so that a proof can't be replayed in another handshake or direction. */
function computeProof(secret: string, role: "dial" | "accept", parts: readonly string[]): string {
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
