/** An authenticated link to a peer that carries requests with replies and one-way notices. */
import { errors, results, utils } from "@shedtiller/common";
import { Packr } from "msgpackr";
import * as ws from "ws";
import { peerFrameSchema, type PeerFrame } from "./peerFrames.js";

const packr = new Packr({ useRecords: false });

/** Identity of an instance, as exchanged in the handshake. */
export interface PeerIdentity {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Reasons for which a request to a peer fails. */
export type PeerError = errors.ConnectionLostError | errors.DeadlineError;

/** Callbacks of a {@link PeerLink}. */
export interface PeerLinkEvents {
  onRequest(link: PeerLink, topic: string, body: unknown): Promise<unknown>;
  onNotice(link: PeerLink, topic: string, body: unknown): void;
  onClosed(link: PeerLink): void;
  /** Called for each frame with its size on the wire, for the control metrics. */
  onTraffic(direction: "sent" | "received", topic: string, sizeBytes: number): void;
}

/** Multiplexes requests, replies and notices over an authenticated WebSocket. */
export class PeerLink {
  /** Monotonic time at which a frame, ping or pong of the peer was last received. */
  lastReceivedAtMs = utils.monotonicMs();
  private _nextId = 1;
  private readonly _pendingRequests = new Map<
    number,
    { topic: string; pendingReply: utils.Deferred<results.Result<unknown, PeerError>> }
  >();
  private _answering = 0;
  private _isClosed = false;

  constructor(
    readonly peer: PeerIdentity,
    /** Whether this side opened the connection. */
    readonly isDialled: boolean,
    private readonly _socket: ws.WebSocket,
    private readonly _events: PeerLinkEvents,
  ) {
    _socket.on("message", (data) => this._handleMessage(data));
    _socket.on("ping", () => this._recordReceived());
    _socket.on("pong", () => this._recordReceived());
    _socket.on("close", () => this._close());
    _socket.on("error", () => this._close());
  }

  get isOpen(): boolean {
    return !this._isClosed && this._socket.readyState === ws.WebSocket.OPEN;
  }

  /** Number of requests in both directions whose replies have not arrived or have not been sent. */
  get pending(): number {
    return this._pendingRequests.size + this._answering;
  }

  /** Whether no request waits for its reply in either direction. */
  get isIdle(): boolean {
    return this.pending === 0;
  }

  /** Sends a request to the peer and waits for its reply. */
  async request(
    topic: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown, PeerError>> {
    if (!this.isOpen) return results.Err(new errors.ConnectionLostError(this.peer.name));
    const id = this._nextId++;
    const pendingReply = new utils.Deferred<results.Result<unknown, PeerError>>();
    this._pendingRequests.set(id, { topic, pendingReply });
    const expire = async (): Promise<void> => {
      await utils.readArrived();
      pendingReply.resolve(
        results.Err(new errors.DeadlineError(`The request ${topic} to ${this.peer.name}`, timeoutMs)),
      );
    };
    const timer = setTimeout(() => void expire(), timeoutMs);
    this._send({ kind: "request", id, topic, body });
    const reply = await pendingReply.promise;
    clearTimeout(timer);
    this._pendingRequests.delete(id);
    return reply;
  }

  /** Sends a notice to the peer; there is no reply. */
  notify(topic: string, body: unknown): void {
    if (this.isOpen) this._send({ kind: "notice", topic, body });
  }

  /** Sends a WebSocket ping: six bytes each way, answered by the peer's WebSocket library. */
  ping(): void {
    if (this.isOpen) this._socket.ping();
  }

  /** Closes the link once everything that was sent has been received. */
  end(): void {
    this._socket.close();
  }

  /** Closes the link at once; requests on it fail. */
  close(): void {
    this._socket.terminate();
    this._close();
  }

  private _send(frame: PeerFrame): void {
    const encoded = packr.pack(frame);
    this._events.onTraffic("sent", "topic" in frame ? frame.topic : frame.kind, encoded.byteLength);
    this._socket.send(encoded);
  }

  private _handleMessage(data: ws.RawData): void {
    const frame = decodePeerFrame(data);
    if (frame.err) return this.close();
    this._recordReceived();
    this._events.onTraffic("received", getTopic(frame.val, this._pendingRequests), getByteLength(data));
    switch (frame.val.kind) {
      case "request":
        return void this._answer(frame.val.id, frame.val.topic, frame.val.body);
      case "reply":
        return this._pendingRequests.get(frame.val.id)?.pendingReply.resolve(results.Ok(frame.val.body));
      case "notice":
        return this._events.onNotice(this, frame.val.topic, frame.val.body);
      default:
        return this.close();
    }
  }

  private _recordReceived(): void {
    this.lastReceivedAtMs = utils.monotonicMs();
  }

  private async _answer(id: number, topic: string, body: unknown): Promise<void> {
    this._answering += 1;
    const reply = await this._events.onRequest(this, topic, body).catch(() => undefined);
    this._answering -= 1;
    if (this.isOpen) this._send({ kind: "reply", id, body: reply });
  }

  private _close(): void {
    if (this._isClosed) return;
    this._isClosed = true;
    for (const { pendingReply } of this._pendingRequests.values()) {
      pendingReply.resolve(results.Err(new errors.ConnectionLostError(this.peer.name)));
    }
    this._events.onClosed(this);
    this._pendingRequests.clear();
  }
}

function getTopic(frame: PeerFrame, pendingRequests: ReadonlyMap<number, { topic: string }>): string {
  if (frame.kind === "reply") return pendingRequests.get(frame.id)?.topic ?? "reply";
  return "topic" in frame ? frame.topic : frame.kind;
}

function getByteLength(data: ws.RawData): number {
  return data instanceof Buffer ? data.byteLength : 0;
}

/** Decodes and validates a frame from a peer. */
export function decodePeerFrame(data: unknown): results.Result<PeerFrame, errors.InvalidInputError> {
  if (!(data instanceof Uint8Array))
    return results.Err(new errors.InvalidInputError("peer", "sent a text frame instead of a binary one"));
  try {
    const checked = peerFrameSchema.safeParse(packr.unpack(data));
    if (!checked.success) return results.Err(errors.fromSchemaIssues("peer frame", checked.error.issues));
    return results.Ok(checked.data);
  } catch (error) {
    return results.Err(
      new errors.InvalidInputError("peer", `sent a malformed frame: ${errors.describeError(error)}`),
    );
  }
}
