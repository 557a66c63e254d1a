/** Which entry instances live, by direct evidence, and the links between them. */
import * as http from "node:http";
import { errors, results, utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import type { Timeline } from "@shedtiller/timeline";
import * as ws from "ws";
import * as zod from "zod";
import { getBudgetIntervalMs } from "./controlBudget.js";
import { LinkWatch, ownPauseMs, watchIntervalMs } from "./LinkWatch.js";
import type { Member } from "./Member.js";
import { acceptPeer, dialPeer } from "./peerHandshake.js";
import type { PeerError, PeerIdentity, PeerLink, PeerLinkEvents } from "./PeerLink.js";
import { pickContacts } from "./pickContacts.js";
import { TrafficCounter } from "./TrafficCounter.js";

const heartbeatTopic = "heartbeat";
const leavingTopic = "leaving";
const forwardTopic = "forward";
const largestFrameBytes = 8 * 1024 * 1024;
const heartbeatBytes = 90;
const heartbeatBytesPerSecond = 800;
const heartbeatFloorMs = 250;
const missedHeartbeats = 4;
const dialTickMs = 200;
/** How long the peer whose part it is may take to dial before we do. */
const dialGraceMs = 1_000;

const forwardSchema = zod.object({
  to: zod.string(),
  topic: zod.string(),
  body: zod.unknown(),
  timeoutMs: zod.number(),
});
const forwardReplySchema = zod.object({ isDelivered: zod.boolean(), body: zod.unknown() });

/** Answers a request of a peer. */
export type RequestHandler = (body: unknown, from: PeerIdentity) => Promise<unknown> | unknown;
/** Takes a notice of a peer. */
export type NoticeHandler = (body: unknown, from: PeerIdentity) => void;

/** What a membership is made of. */
export interface MembershipStructure {
  readonly self: PeerIdentity;
  readonly secret: string;
  readonly timeline: Timeline;
  readonly host: string;
  readonly port: number;
}

/** Keeps links to all instances of its own zone and to a few of each other zone. */
export class Membership {
  readonly self: PeerIdentity;
  readonly traffic = new TrafficCounter();
  private readonly _members = new Map<string, Member>();
  private readonly _links = new Map<string, PeerLink>();
  private readonly _dialling = new Set<string>();
  /** Names of the contacts in other zones; undefined after the members have changed. */
  private _contacts: Set<string> | undefined;
  private readonly _requestHandlers = new Map<string, RequestHandler>();
  private readonly _noticeHandlers = new Map<string, NoticeHandler>();
  private readonly _heartbeatFields = new Map<string, () => unknown>();
  private readonly _linkedListeners: ((peer: PeerIdentity) => void)[] = [];
  private readonly _server = http.createServer((_request, response) => response.writeHead(404).end());
  private readonly _sockets = new ws.WebSocketServer({
    noServer: true,
    perMessageDeflate: false,
    maxPayload: largestFrameBytes,
    allowSynchronousEvents: false,
  });
  private _isClosed = false;
  private _isLeaving = false;

  constructor(private readonly _structure: MembershipStructure) {
    this.self = _structure.self;
    this._server.on("upgrade", (request, socket, head) => {
      this._sockets.handleUpgrade(request, socket, head, (client) => void this._acceptLink(client));
    });
    this.onNotice(leavingTopic, (_body, from) => this._markLeaving(from.name));
    this.onNotice(heartbeatTopic, (body, from) => this._takeHeartbeat(body, from));
    this.onRequest(forwardTopic, (body) => this._forward(body));
  }

  /** Port of the peer listener. */
  get port(): number {
    const bound = this._server.address();
    return bound === null || typeof bound === "string" ? 0 : bound.port;
  }

  /** Listens for peers. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once("error", reject);
      this._server.listen(this._structure.port, this._structure.host, resolve);
    });
  }

  /** Keeps the links and sends heartbeats until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const ignore = (): void => undefined;
    const dials = utils.repeat(dialTickMs, signal, () => this._keepLinks(), ignore);
    const watch = new LinkWatch();
    const looks = utils.repeat(watchIntervalMs, signal, () => watch.check(this._links.values()), ignore);
    await Promise.all([dials, looks, this._sendHeartbeats(signal)]);
  }

  /** Tells all peers that this instance takes no new duties. */
  leave(): void {
    this._isLeaving = true;
    this.notifyAll(leavingTopic, null);
  }

  close(): void {
    this._isClosed = true;
    for (const link of this._links.values()) link.close();
    for (const client of this._sockets.clients) client.terminate();
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Takes a page of the platform's instance list. */
  setListed(instances: readonly ListedInstance[]): void {
    const entries = instances.filter(
      (instance) => instance.role === "entry" && instance.name !== this.self.name,
    );
    const names = new Set(entries.map((entry) => entry.name));
    for (const name of this._members.keys()) if (!names.has(name)) this._forget(name);
    for (const entry of entries) {
      const member = this._addMember(entry);
      if (entry.state === "leaving") member.isLeaving = true;
    }
  }

  onRequest(topic: string, handler: RequestHandler): void {
    this._requestHandlers.set(topic, handler);
  }

  /** Who answers the requests of a topic. */
  getRequestHandler(topic: string): RequestHandler | undefined {
    return this._requestHandlers.get(topic);
  }

  onNotice(topic: string, handler: NoticeHandler): void {
    this._noticeHandlers.set(topic, handler);
  }

  /** Calls `listener` for each link that comes to stand. */
  onLinked(listener: (peer: PeerIdentity) => void): void {
    this._linkedListeners.push(listener);
  }

  /** Adds a field to every heartbeat. */
  addHeartbeatField(field: string, getValue: () => unknown): void {
    this._heartbeatFields.set(field, getValue);
  }

  getMember(name: string): Member | undefined {
    return this._members.get(name);
  }

  getMembers(): Member[] {
    return [...this._members.values()];
  }

  /** Members that we have a link to now. */
  getLinked(): Member[] {
    return this.getMembers().filter((member) => this._links.get(member.name)?.isOpen === true);
  }

  /** Names of the live instances of our own zone that take duties, ourselves included. */
  getZoneRoleCandidates(): string[] {
    const peers = this.getLinked().filter(
      (m) => m.availabilityZone === this.self.availabilityZone && !m.isLeaving,
    );
    const names = peers.map((member) => member.name);
    return this._isLeaving && names.length > 0 ? names : [...names, this.self.name];
  }

  /** Tells whether a duty of our zone is ours now. Two instances may both think so for a moment. */
  ownsZoneRole(duty: string): boolean {
    return utils.pickOwner(duty, this.getZoneRoleCandidates()) === this.self.name;
  }

  /** Whether no other zone is reached, though others are listed; with the time since when. */
  getCutOffSinceMs(): number | undefined {
    const wanted = this._getOtherZones().filter((member) => this._isContact(member));
    if (wanted.length === 0 || wanted.some((member) => member.lostSinceMs === undefined)) return undefined;
    return Math.max(...wanted.map((member) => member.lostSinceMs ?? 0));
  }

  notifyAll(topic: string, body: unknown, wants: (member: Member) => boolean = () => true): void {
    for (const member of this.getLinked())
      if (wants(member)) this._links.get(member.name)?.notify(topic, body);
  }

  /** Asks an instance, directly or over an instance of its zone. */
  async request(
    name: string,
    topic: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown, PeerError>> {
    const link = this._links.get(name);
    if (link?.isOpen === true) return link.request(topic, body, timeoutMs);
    const zone = this._members.get(name)?.availabilityZone;
    const contact = this.getLinked().find((member) => member.availabilityZone === zone);
    const contactLink = contact === undefined ? undefined : this._links.get(contact.name);
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
    const asked = forwardSchema.safeParse(body);
    if (!asked.success) return { isDelivered: false, body: null };
    const link = this._links.get(asked.data.to);
    if (link === undefined) return { isDelivered: false, body: null };
    const reply = await link.request(asked.data.topic, asked.data.body, asked.data.timeoutMs);
    return reply.ok ? { isDelivered: true, body: reply.val } : { isDelivered: false, body: null };
  }

  private _keepLinks(): void {
    for (const member of this._members.values()) {
      if (!this._isWanted(member) || this._links.get(member.name)?.isOpen === true) continue;
      const isOurPart = this.self.name < member.name;
      const waitedMs = utils.monotonicMs() - member.unlinkedSinceMs;
      if (isOurPart || waitedMs > dialGraceMs) void this._dial(member);
    }
  }

  private _isWanted(member: Member): boolean {
    return member.availabilityZone === this.self.availabilityZone || this._isContact(member);
  }

  /** Whether it is one of the few of another zone that this instance keeps links to. */
  private _isContact(member: Member): boolean {
    this._contacts ??= pickContacts(this.self.name, this._getOtherZones());
    return this._contacts.has(member.name);
  }

  private _getOtherZones(): Member[] {
    return this.getMembers().filter((member) => member.availabilityZone !== this.self.availabilityZone);
  }

  private async _dial(member: Member): Promise<void> {
    if (this._dialling.has(member.name)) return;
    this._dialling.add(member.name);
    const link = await dialPeer(member.address, this.self, this._structure.secret, this._createEvents());
    this._dialling.delete(member.name);
    if (link.ok) this._addLink(link.val);
  }

  private async _acceptLink(socket: ws.WebSocket): Promise<void> {
    const link = await acceptPeer(socket, "dialler", this.self, this._structure.secret, this._createEvents());
    if (link.ok) this._addLink(link.val);
  }

  /** Of two links to one peer the one stays that the smaller name dialled. */
  private _addLink(link: PeerLink): void {
    if (this._isClosed) return link.close();
    const { name, availabilityZone } = link.peer;
    const known = this._links.get(name);
    const isPreferred = link.isDialled === this.self.name < name;
    if (known?.isOpen === true && !isPreferred) return link.close();
    this._links.set(name, link);
    if (known !== undefined && known !== link) known.close();
    const member = this._members.get(name) ?? this._addMember({ name, availabilityZone, address: "" });
    if (member.lostSinceMs !== undefined) this._structure.timeline.add("member-seen", { subject: name });
    member.lostSinceMs = undefined;
    for (const listener of this._linkedListeners) listener(link.peer);
  }

  private _addMember(listed: Pick<ListedInstance, "name" | "availabilityZone" | "address">): Member {
    const known = this._members.get(listed.name);
    if (known !== undefined && (known.address === listed.address || listed.address === "")) return known;
    const member: Member = {
      name: listed.name,
      availabilityZone: listed.availabilityZone,
      address: listed.address,
      isLeaving: false,
      lostSinceMs: known === undefined || known.address !== "" ? utils.wallMs() : known.lostSinceMs,
      unlinkedSinceMs: utils.monotonicMs(),
      heartbeat: {},
    };
    this._members.set(listed.name, member);
    this._contacts = undefined;
    return member;
  }

  private _forget(name: string): void {
    if (this._links.get(name)?.isOpen === true) return;
    this._members.delete(name);
    this._contacts = undefined;
  }

  private _createEvents(): PeerLinkEvents {
    return {
      onRequest: async (link, topic, body) => this._requestHandlers.get(topic)?.(body, link.peer),
      onNotice: (link, topic, body) => this._noticeHandlers.get(topic)?.(body, link.peer),
      onClosed: (link) => this._dropLink(link),
      onTraffic: (direction, topic, sizeBytes) => this.traffic.add(direction, topic, sizeBytes),
    };
  }

  private _dropLink(link: PeerLink): void {
    const { name } = link.peer;
    if (this._links.get(name) !== link) return;
    this._links.delete(name);
    const member = this._members.get(name);
    if (member === undefined) return;
    member.lostSinceMs = utils.wallMs();
    member.unlinkedSinceMs = utils.monotonicMs();
    if (!this._isClosed) this._structure.timeline.add("member-lost", { subject: name });
  }

  private _getHeartbeatIntervalMs(): number {
    return getBudgetIntervalMs({
      messageBytes: heartbeatBytes,
      receivers: this._links.size,
      bytesPerSecond: heartbeatBytesPerSecond,
      floorMs: heartbeatFloorMs,
    });
  }

  private async _sendHeartbeats(signal: AbortSignal): Promise<void> {
    let dueAtMs = utils.monotonicMs();
    while (!signal.aborted) {
      const hasPaused = utils.monotonicMs() - dueAtMs > ownPauseMs;
      const intervalMs = this._getHeartbeatIntervalMs();
      const fields = [...this._heartbeatFields].map(([field, getValue]) => [field, getValue()]);
      this.notifyAll(heartbeatTopic, Object.fromEntries(fields));
      // After a pause of its own this instance has not read yet what its peers sent meanwhile.
      if (!hasPaused) this._dropSilent(intervalMs * missedHeartbeats);
      dueAtMs = utils.monotonicMs() + intervalMs;
      await utils.sleep(intervalMs, signal).catch(() => undefined);
    }
  }

  private _dropSilent(longestSilenceMs: number): void {
    const nowMs = utils.monotonicMs();
    for (const link of this._links.values()) if (nowMs - link.heardAtMs > longestSilenceMs) link.close();
  }

  private _takeHeartbeat(body: unknown, from: PeerIdentity): void {
    const member = this._members.get(from.name);
    if (member !== undefined && typeof body === "object" && body !== null) {
      member.heartbeat = body as Record<string, unknown>;
    }
  }

  private _markLeaving(name: string): void {
    const member = this._members.get(name);
    if (member !== undefined) member.isLeaving = true;
  }
}
