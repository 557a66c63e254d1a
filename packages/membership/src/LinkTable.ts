import type { LinkStatement } from "./linkMessages.js";
import type { PeerLink } from "./PeerLink.js";

/** Silence after which an open link is closed. As long as the longest timeout of a request between gateways, so that none ends early. */
export const maxSilenceMs = 8_000;
/** Minimum time from doubt to close, since the silence may include a suspension of this process. */
export const minDoubtMs = 4_000;
/** Time after which an idle retired link is closed even if the peer has not stated that it retired the link, too. */
const maxUnconfirmedMs = 8_000;

/** The properties of a link that decisions depend on. */
export type TableLink = Pick<PeerLink, "peer" | "isDialled" | "isOpen" | "isIdle" | "lastReceivedAtMs">;

interface Entry<T> {
  readonly link: T;
  readonly openedAtMs: number;
  doubtedAtMs: number | undefined;
  retiredAtMs: number | undefined;
  /** What the peer last stated about the link. */
  statement: { readonly value: LinkStatement; readonly atMs: number } | undefined;
}

/**
 * Decides which link to a peer is used, which is in doubt and which is closed. At most one link to each peer carries new messages: the
 * current one. It is in doubt while nothing has been received on it for long: it then counts as not linked and a replacement is dialled, but
 * it stays open, since a peer that was suspended for a moment still answers the requests that it has. A link that has been replaced is
 * retired: it carries only the replies to earlier requests. All times are monotonic.
 */
export class LinkTable<T extends TableLink> {
  private readonly _entries = new Map<T, Entry<T>>();
  private readonly _current = new Map<string, Entry<T>>();

  constructor(
    private readonly _selfName: string,
    private readonly _nowMs: () => number,
  ) {}

  /** Returns all links, including those in doubt and the retired ones. */
  getAll(): T[] {
    return [...this._entries.keys()];
  }

  /** Returns the open current links, including those in doubt. */
  getCurrent(): T[] {
    return [...this._current.values()].map((entry) => entry.link).filter((link) => link.isOpen);
  }

  /** Returns the link to a peer that is open and not in doubt. */
  getUsable(name: string): T | undefined {
    const entry = this._current.get(name);
    return entry?.link.isOpen === true && entry.doubtedAtMs === undefined ? entry.link : undefined;
  }

  /** Returns whether any link to a peer is open. */
  hasOpen(name: string): boolean {
    return this.getAll().some((link) => link.peer.name === name && link.isOpen);
  }

  /** Returns whether a link has been replaced. */
  isRetired(link: T): boolean {
    return this._entries.get(link)?.retiredAtMs !== undefined;
  }

  /** Returns the time since which a peer has stated that it can't use the current link; undefined if it has not. */
  getUnusableSinceMs(name: string): number | undefined {
    const statement = this._current.get(name)?.statement;
    return statement === undefined || statement.value === "used" ? undefined : statement.atMs;
  }

  /**
   * Adds a new link, which replaces an older one: a peer dials only if it has no link that it can use. If both sides dialled at the same
   * time, the link dialled by the instance with the smaller name remains.
   * @param startedAtMs - When this side dialled the peer or accepted its connection.
   * @returns The link that does not remain, and is retired; undefined if there was no other one.
   */
  add(link: T, startedAtMs: number): T | undefined {
    const { name } = link.peer;
    const existing = this._current.get(name);
    const isCrossing = this.getUsable(name) !== undefined && (existing?.openedAtMs ?? 0) >= startedAtMs;
    const isPreferred = link.isDialled === this._selfName < name;
    const nowMs = this._nowMs();
    const entry: Entry<T> = {
      link,
      openedAtMs: nowMs,
      doubtedAtMs: undefined,
      retiredAtMs: undefined,
      statement: undefined,
    };
    this._entries.set(link, entry);
    // The peer may have used a link already that does not remain.
    const retired = isCrossing && !isPreferred ? entry : existing;
    if (retired !== entry) this._current.set(name, entry);
    if (retired !== undefined) retired.retiredAtMs = nowMs;
    return retired?.link;
  }

  /** Removes a closed link. Returns whether its peer counted as linked because of it. */
  remove(link: T): boolean {
    const entry = this._entries.get(link);
    this._entries.delete(link);
    if (entry === undefined || this._current.get(link.peer.name) !== entry) return false;
    this._current.delete(link.peer.name);
    return entry.doubtedAtMs === undefined;
  }

  /** Records that nothing has been received on a link for long. Returns whether the link came into doubt, or has to be closed. */
  noteSilence(link: T): "doubted" | "expired" | undefined {
    const entry = this._entries.get(link);
    if (entry === undefined) return undefined;
    const nowMs = this._nowMs();
    if (entry.doubtedAtMs === undefined) {
      entry.doubtedAtMs = nowMs;
      return entry.retiredAtMs === undefined ? "doubted" : undefined;
    }
    const isExpired =
      nowMs - link.lastReceivedAtMs >= maxSilenceMs && nowMs - entry.doubtedAtMs >= minDoubtMs;
    return isExpired ? "expired" : undefined;
  }

  /** Records what the peer states about a link. */
  noteStatement(link: T, value: LinkStatement): void {
    const entry = this._entries.get(link);
    if (entry !== undefined) entry.statement = { value, atMs: this._nowMs() };
  }

  /** Ends the doubt about a link if something has been received on it since. Returns whether it is used again. */
  noteReceived(link: T): boolean {
    const entry = this._entries.get(link);
    if (entry?.doubtedAtMs === undefined || link.lastReceivedAtMs <= entry.doubtedAtMs) return false;
    entry.doubtedAtMs = undefined;
    return entry.retiredAtMs === undefined;
  }

  /** Ends the doubt about links on which something has been received since, and returns those that are used again. */
  takeResumed(): T[] {
    return this.getAll().filter((link) => this.noteReceived(link));
  }

  /** Returns the retired links that neither side uses any more. */
  getFinished(): T[] {
    return [...this._entries.values()].filter((entry) => this._isFinished(entry)).map((entry) => entry.link);
  }

  private _isFinished({ link, retiredAtMs, statement }: Entry<T>): boolean {
    if (retiredAtMs === undefined || !link.isOpen || !link.isIdle) return false;
    return statement?.value === "retired" || this._nowMs() - retiredAtMs >= maxUnconfirmedMs;
  }
}
