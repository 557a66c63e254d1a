import { utils } from "@shedtiller/common";
import type * as ws from "ws";
import type { LinkChange, LinkChangeKind } from "./LinkChange.js";
import { linkCheckIntervalMs, LinkFailureDetector } from "./LinkFailureDetector.js";
import { linkStatementSchema, linkTopic } from "./linkMessages.js";
import { LinkTable } from "./LinkTable.js";
import type { Member } from "./Member.js";
import { acceptPeer, dialPeer } from "./peerHandshake.js";
import type { PeerIdentity, PeerLink, PeerLinkEvents } from "./PeerLink.js";

const dialIntervalMs = 200;
/** Time that the peer responsible for dialling has to open the link before this instance dials as well. */
const dialGraceMs = 1_000;

/** Dependencies of {@link PeerLinks}. */
export interface PeerLinksStructure {
  readonly self: PeerIdentity;
  readonly secret: string;
  /** Returns the members to which this instance needs a link. */
  readonly getNeeded: () => readonly Member[];
  readonly onRequest: (link: PeerLink, topic: string, body: unknown) => Promise<unknown>;
  readonly onNotice: (link: PeerLink, topic: string, body: unknown) => void;
  readonly onTraffic: PeerLinkEvents["onTraffic"];
  /** Called when a link is established. */
  readonly onOpened: (link: PeerLink) => void;
  /** Called when something is received again on a link that was in doubt. */
  readonly onResumed: (peer: PeerIdentity) => void;
  /** Called when the link to a peer has been closed or comes into doubt. */
  readonly onLost: (peer: PeerIdentity) => void;
  /** Receives each change of a link, for logs and metrics. */
  readonly onChanged: (change: LinkChange) => void;
}

/** Dials and accepts links, replaces those in doubt, and keeps replaced ones open for the requests on them. */
export class PeerLinks {
  private readonly _table: LinkTable<PeerLink>;
  private readonly _dialling = new Set<string>();
  private _isClosed = false;

  constructor(private readonly _structure: PeerLinksStructure) {
    this._table = new LinkTable(_structure.self.name, utils.monotonicMs);
  }

  /** Maintains the links until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const ignore = (): void => undefined;
    const detector = new LinkFailureDetector();
    const check = (): void => this._noteSilence(detector.check(this._table.getAll()));
    await Promise.all([
      utils.repeat(dialIntervalMs, signal, () => this._maintain(), ignore),
      utils.repeat(linkCheckIntervalMs, signal, check, ignore),
    ]);
  }

  async accept(socket: ws.WebSocket): Promise<void> {
    const { self, secret } = this._structure;
    const startedAtMs = utils.monotonicMs();
    const link = await acceptPeer(socket, "dialler", self, secret, this._createEvents());
    if (link.ok) this._add(link.val, startedAtMs);
  }

  /** Returns the link to a peer that is open and not in doubt. */
  getUsable(name: string): PeerLink | undefined {
    return this._table.getUsable(name);
  }

  /** Returns the open links that carry new messages, including those in doubt. */
  getCurrent(): PeerLink[] {
    return this._table.getCurrent();
  }

  /** Returns whether any link to a peer is open. */
  hasOpen(name: string): boolean {
    return this._table.hasOpen(name);
  }

  /** Puts the links in doubt on which nothing has been received for `maxSilenceMs`. */
  doubtSilent(maxSilenceMs: number): void {
    const sinceMs = utils.monotonicMs() - maxSilenceMs;
    this._noteSilence(this._table.getCurrent().filter((link) => link.lastReceivedAtMs < sinceMs));
  }

  close(): void {
    this._isClosed = true;
    for (const link of this._table.getAll()) link.close();
  }

  private _maintain(): void {
    for (const link of this._table.takeResumed()) this._resume(link);
    for (const link of this._table.getFinished()) {
      this._report("finished", link);
      link.end();
    }
    this._dialMissing();
  }

  /** Dials the members to which a link is needed but missing or in doubt. Of two instances, the one with the smaller name dials first. */
  private _dialMissing(): void {
    for (const member of this._structure.getNeeded()) {
      // A peer that is linked but not listed has to dial itself.
      if (member.address === "") continue;
      const isUsable = this._table.getUsable(member.name) !== undefined;
      const sinceMs = isUsable ? this._table.getUnusableSinceMs(member.name) : member.lostSinceMonotonicMs;
      if (sinceMs === undefined) continue;
      const isDialler = this._structure.self.name < member.name;
      if (isDialler || utils.monotonicMs() - sinceMs > dialGraceMs) void this._dial(member);
    }
  }

  private async _dial({ name, address }: Member): Promise<void> {
    if (this._dialling.has(name)) return;
    this._dialling.add(name);
    const { self, secret } = this._structure;
    const startedAtMs = utils.monotonicMs();
    const link = await dialPeer(address, self, secret, this._createEvents());
    this._dialling.delete(name);
    if (link.ok) this._add(link.val, startedAtMs);
  }

  /** Registers a link that this side began to establish at `startedAtMs`. A link that it replaces stays open for what waits on it. */
  private _add(link: PeerLink, startedAtMs: number): void {
    if (this._isClosed || !link.isOpen) return link.close();
    const retired = this._table.add(link, startedAtMs);
    if (retired !== undefined) {
      retired.notify(linkTopic, "retired");
      this._report("replaced", retired);
    }
    if (retired !== link) this._structure.onOpened(link);
  }

  private _createEvents(): PeerLinkEvents {
    return {
      onRequest: (link, topic, body) => {
        this._noteReceived(link);
        return this._structure.onRequest(link, topic, body);
      },
      onNotice: (link, topic, body) => this._handleNotice(link, topic, body),
      onClosed: (link) => this._remove(link),
      onTraffic: this._structure.onTraffic,
    };
  }

  /** Notices on a retired link may be older than those on its replacement, and are dropped. */
  private _handleNotice(link: PeerLink, topic: string, body: unknown): void {
    this._noteReceived(link);
    if (topic === linkTopic) {
      const statement = linkStatementSchema.safeParse(body);
      if (statement.success) this._table.noteStatement(link, statement.data);
    } else if (!this._table.isRetired(link)) this._structure.onNotice(link, topic, body);
  }

  /** Uses a link again with its first message, whose handler may have to ask the peer. */
  private _noteReceived(link: PeerLink): void {
    if (this._table.noteReceived(link)) this._resume(link);
  }

  private _resume(link: PeerLink): void {
    link.notify(linkTopic, "used");
    this._report("resumed", link);
    this._structure.onResumed(link.peer);
  }

  private _remove(link: PeerLink): void {
    if (!this._table.remove(link)) return;
    this._report("closed", link);
    this._structure.onLost(link.peer);
  }

  private _noteSilence(links: readonly PeerLink[]): void {
    for (const link of links) {
      const result = this._table.noteSilence(link);
      if (result === undefined) continue;
      this._report(result, link);
      if (result === "expired") link.close();
      else {
        // Only one direction may be interrupted; the peer then dials a replacement at once.
        link.notify(linkTopic, "doubted");
        this._structure.onLost(link.peer);
      }
    }
  }

  private _report(kind: LinkChangeKind, link: PeerLink): void {
    const { peer, isDialled, pending } = link;
    const silentMs = Math.round(utils.monotonicMs() - link.lastReceivedAtMs);
    if (!this._isClosed) this._structure.onChanged({ kind, peer: peer.name, isDialled, silentMs, pending });
  }
}
