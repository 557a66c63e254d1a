import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import { applyDelta } from "../configuration/configurationDelta.js";
import type { ConfigurationHistory } from "../configuration/ConfigurationHistory.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { GatewayConfiguration } from "../configuration/gatewayConfiguration.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { getFiniteAgeMs } from "./getFiniteAgeMs.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import {
  configurationResponseSchema,
  configurationRequestSchema,
  peerTopics,
  wholeConfigurationSchema,
  type ConfigurationResponse,
} from "./peerMessages.js";

/**
 * An instance requests the configuration from its peers once its freshness is older than this. While the store responds, the age
 * stays below 3 s.
 */
const staleAfterMs = 3_200;
/** Delay before an instance requests from peers a newer version that is known to exist but that the store has not delivered. */
const requestWhenBehindMs = 600;
/** Delay before a new version is requested from the peer that announced it; the store may deliver the version in the meantime. */
const requestAfterAnnouncementMs = 700;
/** Time that the store has after the start of an instance to deliver a configuration, before the instance requests one from a peer. */
const startupGraceMs = 600;
/** Responses have a few KB at most and take about 5 ms, so a peer that takes longer than this is slow or unreachable. */
const responseTimeoutMs = 400;
/**
 * Minimum time between two whole configurations that an instance sends. A configuration of 0.45 MB takes 0.26 s on a link of 14 Mbit/s.
 * Instances that have received the configuration send it to the others.
 */
const wholeIntervalMs = 300;
/** Maximum number of requests, one after the other, to peers with a newer version; each peer may be busy sending to another instance. */
const newerPeersPerRound = 3;
/**
 * An announced whole configuration that does not arrive within this timeout is requested from another peer. The timeout doubles each time
 * no configuration has arrived.
 */
const initialWholeTimeoutMs = 1_000;
const maxWholeTimeoutMs = 8_000;

/** The configuration in force at this instance, and how far it lags behind the store. */
export interface ConfigurationState {
  readonly activeConfiguration: ActiveConfiguration;
  readonly history: ConfigurationHistory;
  /** Returns for how long a newer configuration has been known to exist without having come from the store. */
  readonly getBehindMs: () => number;
  /** Returns the store's offset that follows the configuration in force, or undefined before the first read. */
  readonly getConfigurationOffset: () => number | undefined;
  /** Records that everything in the store before `nextOffset` is in force. */
  readonly advanceTo: (nextOffset: number) => void;
}

/** Dependencies of {@link ConfigurationExchange}. */
export interface ConfigurationExchangeStructure extends ConfigurationState {
  readonly membership: Pick<Membership, "getLinked" | "notifyAll" | "onNotice" | "onRequest" | "request">;
  readonly log: DecisionLog;
  /** Announces to the instances of this zone that a version has come into force at this instance. */
  readonly broadcastToZone: (version: number) => void;
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/**
 * Gets the configuration from peers when the store does not deliver it. Responses contain only versions, freshness and small deltas. A
 * whole configuration is sent as a notice of its own, from one peer at a time, and is accepted whenever it arrives.
 *
 * As part of a response, a whole configuration would be lost whenever its transfer takes longer than the timeout, and repeated requests
 * would delay each other: with 0.45 MB, links of 14 Mbit/s and requests to two peers every 400 ms, instances did not catch up and were
 * still behind 13 s after the store had recovered.
 */
export class ConfigurationExchange {
  /** The newest version that each peer is known to have. */
  private readonly _peerVersions = new Map<string, number>();
  /** Time since which a newer version has been known to be in force at a peer. */
  private _announcedSinceMs = 0;
  /** Whether a request for a new version is scheduled. Many peers announce the same version, but a single request is enough. */
  private _isRequestScheduled = false;
  private readonly _startedAtMs: number;
  /** Time until which a whole configuration is expected from the peer that the last request for it went to. */
  private _wholeExpectedUntilMs = Number.NEGATIVE_INFINITY;
  private _wholeTimeoutMs = initialWholeTimeoutMs;
  /** The newest freshness that a peer reported. */
  private _peerFreshness = { version: -1, atMs: Number.NEGATIVE_INFINITY };
  private _wholeSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: ConfigurationExchangeStructure) {
    const { membership } = _structure;
    this._startedAtMs = _structure.nowMs();
    membership.onRequest(peerTopics.configuration, (body, from) => this._respond(body, from));
    membership.onNotice(peerTopics.wholeConfiguration, (body, from) => this._acceptWhole(body, from));
  }

  /** Records that a peer has a new version in force, and requests it if the store has not delivered it after a delay. */
  async handleNewVersion(name: string, version: number): Promise<void> {
    this._recordVersion(name, version);
    if (version <= this._structure.activeConfiguration.version || this._isRequestScheduled) return;
    this._isRequestScheduled = true;
    if (this._isStarting() || !this.isStale()) await this._structure.pause(requestAfterAnnouncementMs);
    this._isRequestScheduled = false;
    if (version > this._structure.activeConfiguration.version) await this.requestFrom(name);
  }

  /** Returns whether a newer version has been known to exist for a while, or the freshness is too old. */
  isStale(): boolean {
    const { activeConfiguration, getBehindMs, nowMs } = this._structure;
    const isAnnounced =
      this._getNewerPeers().length > 0 && nowMs() - this._announcedSinceMs >= requestAfterAnnouncementMs;
    return (
      isAnnounced ||
      getBehindMs() > requestWhenBehindMs ||
      activeConfiguration.getFreshnessAgeMs() > staleAfterMs
    );
  }

  /**
   * Requests the configuration if this instance is stale, from peers that are known to have a newer version and from some others.
   * @param others - Randomly sampled peers.
   */
  async requestIfStale(others: readonly string[]): Promise<void> {
    if (!this.isStale()) {
      this._wholeTimeoutMs = initialWholeTimeoutMs;
      return;
    }
    const newerPeers = utils.sample(this._getNewerPeers(), newerPeersPerRound, this._structure.random);
    for (const name of newerPeers) {
      if (this._peerVersions.has(name)) await this.requestFrom(name);
    }
    await Promise.all(others.map((name) => this.requestFrom(name)));
  }

  /** Requests a peer's version, freshness and delta, and a whole configuration if one is due and none is expected. */
  async requestFrom(name: string): Promise<void> {
    const { membership, activeConfiguration, log, nowMs } = this._structure;
    const requestedAtMs = nowMs();
    const wantsWhole = this._isWholeDue();
    if (wantsWhole) this._wholeExpectedUntilMs = requestedAtMs + responseTimeoutMs;
    const request = { version: activeConfiguration.version, wantsWhole };
    const reply = await membership.request(name, peerTopics.configuration, request, responseTimeoutMs);
    const response = reply.ok ? configurationResponseSchema.safeParse(reply.val).data : undefined;
    const tookMs = Math.round(nowMs() - requestedAtMs);
    log.info("configuration-asked", { peer: name, ...request, answered: response?.version, tookMs });
    if (wantsWhole) this._expectWhole(response?.isWholeComing === true);
    if (response === undefined) this._peerVersions.delete(name);
    else this._acceptResponse(name, response, requestedAtMs);
  }

  /**
   * Returns the linked peers that are known to have a newer version. A peer without a direct link could not send a whole configuration,
   * since requests are relayed and notices are not.
   */
  private _getNewerPeers(): string[] {
    const { activeConfiguration, membership } = this._structure;
    for (const [name, version] of this._peerVersions)
      if (version <= activeConfiguration.version) this._peerVersions.delete(name);
    if (this._peerVersions.size === 0) return [];
    const linked = membership.getLinked().map((member) => member.name);
    return linked.filter((name) => this._peerVersions.has(name));
  }

  private _recordVersion(name: string, version: number): void {
    if (version <= this._structure.activeConfiguration.version) return;
    if (this._getNewerPeers().length === 0) this._announcedSinceMs = this._structure.nowMs();
    this._peerVersions.set(name, version);
  }

  private _isWholeDue(): boolean {
    return !this._isStarting() && this.isStale() && this._structure.nowMs() >= this._wholeExpectedUntilMs;
  }

  private _isStarting(): boolean {
    const { activeConfiguration, nowMs } = this._structure;
    return activeConfiguration.table === undefined && nowMs() - this._startedAtMs < startupGraceMs;
  }

  private _acceptResponse(name: string, response: ConfigurationResponse, requestedAtMs: number): void {
    const { activeConfiguration, history } = this._structure;
    const { version, proofAgeMs, delta } = response;
    if (delta !== undefined && history.newest?.version === delta.baseVersion) {
      this._accept(applyDelta(history.newest, delta), response.nextOffset);
    }
    this._recordVersion(name, version);
    // The peer's freshness has the reported age at the time of the request. It may belong to a whole configuration that arrives next.
    this._peerFreshness = { version, atMs: requestedAtMs - proofAgeMs };
    activeConfiguration.confirmFreshness(version, this._peerFreshness.atMs);
  }

  private _expectWhole(isComing: boolean): void {
    if (!isComing) {
      this._wholeExpectedUntilMs = Number.NEGATIVE_INFINITY;
      return;
    }
    this._wholeExpectedUntilMs = this._structure.nowMs() + this._wholeTimeoutMs;
    this._wholeTimeoutMs = Math.min(maxWholeTimeoutMs, 2 * this._wholeTimeoutMs);
  }

  private _respond(body: unknown, from: PeerIdentity): unknown {
    const request = configurationRequestSchema.safeParse(body);
    const { activeConfiguration, history, getConfigurationOffset } = this._structure;
    const { newest } = history;
    if (!request.success || newest === undefined) return undefined;
    const { version, wantsWhole } = request.data;
    const proofAgeMs = getFiniteAgeMs(activeConfiguration.getFreshnessAgeMs());
    const response = {
      version: newest.version,
      proofAgeMs,
      nextOffset: getConfigurationOffset(),
      isWholeComing: false,
    };
    if (version >= newest.version) return response;
    const delta = history.getDeltaFrom(version);
    if (delta !== undefined) return { ...response, delta };
    return { ...response, isWholeComing: wantsWhole && this._sendWhole(from, newest) };
  }

  /** Sends a whole configuration unless this instance has sent one within {@link wholeIntervalMs}, and returns whether one is sent. */
  private _sendWhole(to: PeerIdentity, configuration: GatewayConfiguration): boolean {
    const { membership, getConfigurationOffset, nowMs, pause, log } = this._structure;
    if (nowMs() - this._wholeSentAtMs < wholeIntervalMs) return false;
    this._wholeSentAtMs = nowMs();
    const body = { configuration, nextOffset: getConfigurationOffset() };
    log.info("configuration-sent", { peer: to.name, version: configuration.version });
    // A link delivers its messages in order, so the response has to be sent before the large notice.
    void pause(0).then(() => {
      membership.notifyAll(peerTopics.wholeConfiguration, body, (member) => member.name === to.name);
    });
    return true;
  }

  /** Accepts a whole configuration whenever it arrives; a late one does no harm, since versions never decrease. */
  private _acceptWhole(body: unknown, from: PeerIdentity): void {
    const whole = wholeConfigurationSchema.safeParse(body);
    if (!whole.success) {
      return logInvalidPeerMessage(this._structure.log, peerTopics.wholeConfiguration, from);
    }
    this._wholeExpectedUntilMs = Number.NEGATIVE_INFINITY;
    this._wholeTimeoutMs = initialWholeTimeoutMs;
    this._accept(whole.data.configuration, whole.data.nextOffset);
  }

  /**
   * Puts a newer configuration into force and announces it to the zone. The other instances of the zone probably lack it too, since the
   * reader of the zone does not reach the store.
   */
  private _accept(configuration: GatewayConfiguration, nextOffset: number | undefined): void {
    const { activeConfiguration, advanceTo, broadcastToZone } = this._structure;
    if (configuration.version <= activeConfiguration.version) return;
    if (nextOffset !== undefined) advanceTo(nextOffset);
    activeConfiguration.accept(configuration, "peer");
    activeConfiguration.confirmFreshness(this._peerFreshness.version, this._peerFreshness.atMs);
    broadcastToZone(configuration.version);
  }
}
