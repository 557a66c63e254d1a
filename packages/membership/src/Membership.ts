/** Membership of the entry instances: the links between them, and which of them are alive according to these links. */
import * as http from "node:http";
import type { Duplex } from "node:stream";
import { errors, results, utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import type { Timeline } from "@shedtiller/timeline";
import * as ws from "ws";
import { getBudgetIntervalMs } from "./controlBudget.js";
import { forwardReplySchema, forwardSchema } from "./forwardMessages.js";
import type { LinkChange, LinkChangeKind } from "./LinkChange.js";
import { suspensionThresholdMs } from "./LinkFailureDetector.js";
import type { Member } from "./Member.js";
import type { PeerError, PeerIdentity, PeerLink } from "./PeerLink.js";
import { PeerLinks } from "./PeerLinks.js";
import { pickContacts } from "./pickContacts.js";
import { TrafficCounter } from "./TrafficCounter.js";

const heartbeatTopic = "heartbeat";
const leavingTopic = "leaving";
const forwardTopic = "forward";
const maxFrameBytes = 8 * 1024 * 1024;
const heartbeatBytes = 90;
const heartbeatBytesPerSecond = 800;
const minHeartbeatIntervalMs = 250;
const maxMissedHeartbeats = 4;

/** Handles a request from a peer and returns the body of the reply. */
export type RequestHandler = (body: unknown, from: PeerIdentity) => Promise<unknown> | unknown;
/** Handles a connection to the peer listener that changes to another protocol than that of the links. */
export type UpgradeHandler = (request: http.IncomingMessage, socket: Duplex, head: Buffer) => void;
/** Called when a peer is linked: over a new link, or again over one that was in doubt. No notices were sent to it while it was not linked. */
export type LinkedListener = (peer: PeerIdentity, isResumed?: boolean) => void;
/** Handles a one-way notice from a peer. */
export type NoticeHandler = (body: unknown, from: PeerIdentity) => void;

/** Dependencies of {@link Membership}. */
export interface MembershipStructure {
  readonly self: PeerIdentity;
  readonly secret: string;
  readonly timeline: Timeline;
  readonly host: string;
  readonly port: number;
  /** Receives each change of a link, for logs and metrics. */
  readonly onLinkChanged?: ((change: LinkChange) => void) | undefined;
}

/** Maintains links to all instances of the own availability zone and to a few of each other zone, and routes messages over them. */
export class Membership {
  readonly self: PeerIdentity;
  readonly traffic = new TrafficCounter();
  private readonly _linkChanges = new Map<LinkChangeKind, number>();
  private readonly _members = new Map<string, Member>();
  private readonly _links: PeerLinks;
  /** Names of the contacts in other zones; undefined if they have to be computed again after a change of the members. */
  private _contacts: Set<string> | undefined;
  private readonly _requestHandlers = new Map<string, RequestHandler>();
  private readonly _noticeHandlers = new Map<string, NoticeHandler>();
  private readonly _upgradeHandlers = new Map<string, UpgradeHandler>();
  private readonly _heartbeatFields = new Map<string, () => unknown>();
  private readonly _linkedListeners: LinkedListener[] = [];
  private readonly _server = http.createServer((_request, response) => response.writeHead(404).end());
  private readonly _sockets = new ws.WebSocketServer({
    noServer: true,
    perMessageDeflate: false,
    maxPayload: maxFrameBytes,
    allowSynchronousEvents: false,
  });
  private _isClosed = false;
  private _isLeaving = false;

  constructor(private readonly _structure: MembershipStructure) {
    this.self = _structure.self;
    this._links = this._createLinks();
    this._server.on("upgrade", (request, socket, head) => {
      const handleUpgrade = this._upgradeHandlers.get(request.url ?? "");
      if (handleUpgrade !== undefined) return handleUpgrade(request, socket, head);
      this._sockets.handleUpgrade(request, socket, head, (client) => void this._links.accept(client));
    });
    this.onNotice(leavingTopic, (body, from) => this._markLeaving(body, from.name));
    this.onNotice(heartbeatTopic, (body, from) => this._storeHeartbeat(body, from));
    this.onRequest(forwardTopic, (body) => this._forward(body));
  }

  /** Port of the peer listener; 0 before {@link listen}. */
  get port(): number {
    const bound = this._server.address();
    return bound === null || typeof bound === "string" ? 0 : bound.port;
  }

  /** Starts to accept connections from peers. */
  listen(options?: utils.ListenOptions): Promise<void> {
    const { host, port } = this._structure;
    return utils.listen(this._server, { host, port }, options);
  }

  /** Maintains the links and sends heartbeats until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this._links.run(signal), this._sendHeartbeats(signal)]);
  }

  /** Announces to all peers that this instance is shutting down and takes no new zone roles. */
  leave(): void {
    this._isLeaving = true;
    this.notifyAll(leavingTopic, null);
  }

  close(): void {
    this._isClosed = true;
    this._links.close();
    for (const client of this._sockets.clients) client.terminate();
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Updates the members from the platform's instance list. */
  setListed(instances: readonly ListedInstance[]): void {
    const entries = instances.filter(
      (instance) => instance.role === "entry" && instance.name !== this.self.name,
    );
    const names = new Set(entries.map((entry) => entry.name));
    for (const name of this._members.keys()) if (!names.has(name)) this._removeUnlinked(name);
    for (const entry of entries) {
      const member = this._addMember(entry);
      if (entry.state === "leaving") member.isLeaving = true;
    }
  }

  onRequest(topic: string, handler: RequestHandler): void {
    this._requestHandlers.set(topic, handler);
  }

  /** Returns the handler of the requests of a topic. */
  getRequestHandler(topic: string): RequestHandler | undefined {
    return this._requestHandlers.get(topic);
  }

  /** @throws InvalidInputError if the topic already has a handler, which the second one would replace. */
  onNotice(topic: string, handler: NoticeHandler): void {
    if (this._noticeHandlers.has(topic))
      throw new errors.InvalidInputError(`topic ${topic}`, "already has a handler");
    this._noticeHandlers.set(topic, handler);
  }

  /** Passes the connections to a path of the peer listener to `handler`, which has to authenticate them. */
  onUpgrade(path: string, handler: UpgradeHandler): void {
    this._upgradeHandlers.set(path, handler);
  }

  /** Calls `listener` whenever a peer counts as linked that did not before, or over a new link. */
  onLinked(listener: LinkedListener): void {
    this._linkedListeners.push(listener);
  }

  /** Adds a field to every heartbeat; its value is read when the heartbeat is sent. */
  addHeartbeatField(field: string, getValue: () => unknown): void {
    this._heartbeatFields.set(field, getValue);
  }

  getMember(name: string): Member | undefined {
    return this._members.get(name);
  }

  getMembers(): Member[] {
    return [...this._members.values()];
  }

  /** Returns the members to which a link is open and not in doubt. */
  getLinked(): Member[] {
    return this.getMembers().filter((member) => this._links.getUsable(member.name) !== undefined);
  }

  /** Returns whether any link to a peer is open, also one in doubt: the peer may only be suspended for a moment. */
  hasOpenLink(name: string): boolean {
    return this._links.hasOpen(name);
  }

  /** Returns the names of the live instances of the own zone that can take a zone role, including this instance. */
  getZoneRoleCandidates(): string[] {
    const peers = this.getLinked().filter(
      (m) => m.availabilityZone === this.self.availabilityZone && !m.isLeaving,
    );
    const names = peers.map((member) => member.name);
    return this._isLeaving && names.length > 0 ? names : [...names, this.self.name];
  }

  /**
   * Returns whether this instance currently has a role of its zone. Two instances may both return true for a moment while their views of
   * the zone differ.
   */
  ownsZoneRole(role: string): boolean {
    return utils.pickOwner(role, this.getZoneRoleCandidates()) === this.self.name;
  }

  /**
   * Returns the wall-clock time since which this instance has had no link to any other zone; undefined while it has one or no instance of
   * another zone is listed.
   */
  getCutOffSinceMs(): number | undefined {
    const contacts = this._getMembersOfOtherZones().filter((member) => this._isContact(member));
    if (contacts.length === 0 || contacts.some((member) => member.lostSinceMs === undefined))
      return undefined;
    return Math.max(...contacts.map((member) => member.lostSinceMs ?? 0));
  }

  /** Returns the number of changes of links so far, by kind. */
  getLinkChanges(): ReadonlyMap<LinkChangeKind, number> {
    return this._linkChanges;
  }

  /** Sends a notice to all linked members that `isRecipient` accepts. */
  notifyAll(topic: string, body: unknown, isRecipient: (member: Member) => boolean = () => true): void {
    for (const member of this.getLinked())
      if (isRecipient(member)) this._links.getUsable(member.name)?.notify(topic, body);
  }

  /** Sends a request to an instance over its link; without a link, a linked instance of the same zone forwards the request. */
  async request(
    name: string,
    topic: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown, PeerError>> {
    const link = this._links.getUsable(name);
    if (link !== undefined) return link.request(topic, body, timeoutMs);
    const zone = this._members.get(name)?.availabilityZone;
    const contact = this.getLinked().find((member) => member.availabilityZone === zone);
    const contactLink = contact === undefined ? undefined : this._links.getUsable(contact.name);
    if (contactLink === undefined) return results.Err(new errors.ConnectionLostError(name));
    const forwarded = await contactLink.request(
      forwardTopic,
      { to: name, topic, body, timeoutMs },
      timeoutMs,
    );
    if (forwarded.err) return forwarded;
    const reply = forwardReplySchema.safeParse(forwarded.val);
    if (!reply.success || !reply.data.isDelivered) return results.Err(new errors.ConnectionLostError(name));
    return results.Ok(reply.data.body);
  }

  private async _forward(body: unknown): Promise<unknown> {
    const parsed = forwardSchema.safeParse(body);
    if (!parsed.success) return { isDelivered: false, body: null };
    const link = this._links.getUsable(parsed.data.to);
    if (link === undefined) return { isDelivered: false, body: null };
    const reply = await link.request(parsed.data.topic, parsed.data.body, parsed.data.timeoutMs);
    return reply.ok ? { isDelivered: true, body: reply.val } : { isDelivered: false, body: null };
  }

  private _needsLink(member: Member): boolean {
    return member.availabilityZone === this.self.availabilityZone || this._isContact(member);
  }

  /** Returns whether a member is one of the few of another zone to which this instance maintains a link. */
  private _isContact(member: Member): boolean {
    this._contacts ??= pickContacts(this.self.name, this._getMembersOfOtherZones());
    return this._contacts.has(member.name);
  }

  private _getMembersOfOtherZones(): Member[] {
    return this.getMembers().filter((member) => member.availabilityZone !== this.self.availabilityZone);
  }

  private _createLinks(): PeerLinks {
    return new PeerLinks({
      self: this.self,
      secret: this._structure.secret,
      getNeeded: () => this.getMembers().filter((member) => this._needsLink(member)),
      onRequest: async (link, topic, body) => this._requestHandlers.get(topic)?.(body, link.peer),
      onNotice: (link, topic, body) => this._noticeHandlers.get(topic)?.(body, link.peer),
      onTraffic: (direction, topic, sizeBytes) => this.traffic.add(direction, topic, sizeBytes),
      onOpened: (link) => this._handleOpened(link),
      onResumed: (peer) => this._handleResumed(peer),
      onLost: ({ name }) => this._markLost(name),
      onChanged: (change) => this._handleChange(change),
    });
  }

  private _handleChange(change: LinkChange): void {
    this._linkChanges.set(change.kind, (this._linkChanges.get(change.kind) ?? 0) + 1);
    this._structure.onLinkChanged?.(change);
  }

  private _handleOpened(link: PeerLink): void {
    const member = this._markSeen(link.peer);
    // The peer may have restarted since it announced that it leaves; if it has not, it says so again.
    member.isLeaving = false;
    if (this._isLeaving) link.notify(leavingTopic, null);
    for (const listener of this._linkedListeners) listener(link.peer);
  }

  private _handleResumed(peer: PeerIdentity): void {
    this._markSeen(peer);
    for (const listener of this._linkedListeners) listener(peer, true);
  }

  private _markSeen({ name, availabilityZone }: PeerIdentity): Member {
    const member = this._members.get(name) ?? this._addMember({ name, availabilityZone, address: "" });
    if (member.lostSinceMs !== undefined) this._structure.timeline.add("member-seen", { subject: name });
    member.lostSinceMs = undefined;
    return member;
  }

  private _markLost(name: string): void {
    const member = this._members.get(name);
    if (member === undefined) return;
    member.lostSinceMs = utils.wallMs();
    member.lostSinceMonotonicMs = utils.monotonicMs();
    if (!this._isClosed) this._structure.timeline.add("member-lost", { subject: name });
  }

  private _addMember(listed: Pick<ListedInstance, "name" | "availabilityZone" | "address">): Member {
    const existing = this._members.get(listed.name);
    if (existing !== undefined && (existing.address === listed.address || listed.address === ""))
      return existing;
    const member: Member = {
      name: listed.name,
      availabilityZone: listed.availabilityZone,
      address: listed.address,
      isLeaving: false,
      lostSinceMs: existing === undefined || existing.address !== "" ? utils.wallMs() : existing.lostSinceMs,
      lostSinceMonotonicMs: utils.monotonicMs(),
      heartbeat: {},
    };
    this._members.set(listed.name, member);
    this._contacts = undefined;
    return member;
  }

  /** Removes a member that is no longer listed, unless it is linked. */
  private _removeUnlinked(name: string): void {
    if (this._links.getUsable(name) !== undefined) return;
    this._members.delete(name);
    this._contacts = undefined;
  }

  private _getHeartbeatIntervalMs(): number {
    return getBudgetIntervalMs({
      messageBytes: heartbeatBytes,
      receivers: this._links.getCurrent().length,
      bytesPerSecond: heartbeatBytesPerSecond,
      floorMs: minHeartbeatIntervalMs,
    });
  }

  private async _sendHeartbeats(signal: AbortSignal): Promise<void> {
    let dueAtMs = utils.monotonicMs();
    while (!signal.aborted) {
      const wasSuspended = utils.monotonicMs() - dueAtMs > suspensionThresholdMs;
      const intervalMs = this._getHeartbeatIntervalMs();
      const fields = [...this._heartbeatFields].map(([field, getValue]) => [field, getValue()]);
      this.notifyAll(heartbeatTopic, Object.fromEntries(fields));
      // After a suspension of this process, frames that peers sent meanwhile have not been read yet.
      if (!wasSuspended) this._links.doubtSilent(intervalMs * maxMissedHeartbeats);
      dueAtMs = utils.monotonicMs() + intervalMs;
      await utils.sleep(intervalMs, signal).catch(() => undefined);
    }
  }

  private _storeHeartbeat(body: unknown, from: PeerIdentity): void {
    const member = this._members.get(from.name);
    if (member !== undefined && typeof body === "object" && body !== null) {
      member.heartbeat = body as Record<string, unknown>;
    }
  }

  /** Peers of an earlier version announce draining endpoints under the same topic, with a list as the body. */
  private _markLeaving(body: unknown, name: string): void {
    const member = this._members.get(name);
    if (member !== undefined && body === null) member.isLeaving = true;
  }
}
