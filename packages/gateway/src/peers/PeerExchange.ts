import { utils } from "@shedtiller/common";
import type { Member, Membership, PeerIdentity } from "@shedtiller/membership";
import type * as zod from "zod";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ReportedSuspicion } from "../discovery/FailureDetector.js";
import type { PeerEndpointList } from "../discovery/EndpointWatch.js";
import { areSameLayers } from "../discovery/layerSpans.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { SuspicionEvidence } from "../discovery/SuspicionEvidence.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { ConfigurationExchange, type ConfigurationState } from "./ConfigurationExchange.js";
import { getFiniteAgeMs } from "./getFiniteAgeMs.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import {
  endpointsResponseSchema,
  loadedLayersSchema,
  instancesSchema,
  endpointsRequestSchema,
  peerTopics,
  restartSchema,
  slownessSchema,
  suspicionSchema,
  endpointNoticeSchema,
  versionSchema,
} from "./peerMessages.js";
import type { RegisteredInstance } from "./PeerRegistry.js";

/**
 * An instance requests the list of endpoints from peers once the freshness of its list is older than this. While the store responds,
 * the age stays below 0.8 s.
 */
const staleListAfterMs = 1_500;
const requestIntervalMs = 400;
const requestTimeoutMs = 400;
const peersPerRound = 2;

/** Dependencies of {@link PeerExchange}. */
export interface PeerExchangeStructure extends ConfigurationState {
  readonly membership: Pick<
    Membership,
    "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice" | "onRequest" | "request"
  >;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** Returns the time since the list of endpoints was last known to be complete. */
  readonly getEndpointListAgeMs: () => number;
  /** Returns the store's offset that follows what this instance has read of the list, or undefined before the first read. */
  readonly getEndpointListOffset: () => number | undefined;
  readonly applyEndpointList: (list: PeerEndpointList) => void;
  /** Returns whether the last read of the registry of instances succeeded. */
  readonly isRegistryReached: () => boolean;
  readonly getInstances: () => readonly RegisteredInstance[];
  readonly addInstances: (instances: readonly RegisteredInstance[]) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random?: () => number;
}

/** Exchanges the configuration, the list of endpoints, and observations such as suspicions, restarts and slowness with peers. */
export class PeerExchange {
  private readonly _configurations: ConfigurationExchange;
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;
  private readonly _random: () => number;
  /** Peers to which a request of {@link requestFrom} is open. */
  private readonly _asked = new Set<string>();
  private _suspicionListener: (endpointId: string, suspicion: ReportedSuspicion) => void;

  constructor(private readonly _structure: PeerExchangeStructure) {
    const { membership } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._pause = _structure.pause ?? utils.sleep;
    this._random = _structure.random ?? Math.random;
    this._configurations = new ConfigurationExchange({
      ..._structure,
      broadcastToZone: (version) => membership.notifyAll(peerTopics.newVersion, { version }, this._isOwnZone),
      nowMs: this._nowMs,
      pause: this._pause,
      random: this._random,
    });
    this._suspicionListener = (endpointId, { evidence }) =>
      _structure.endpoints.suspect(endpointId, evidence);
    this._subscribeToEndpointNotices();
    membership.onNotice(peerTopics.restarted, (body, from) => this._handleRestart(body, from));
    membership.onNotice(peerTopics.newVersion, (body, from) => this._handleNewVersion(body, from));
    membership.onRequest(peerTopics.endpoints, (body) => this._respondEndpoints(body));
    membership.onRequest(peerTopics.instances, () => [..._structure.getInstances()]);
    membership.onLinked((peer) => {
      void this._requestInstances(peer);
      if (this._isOutOfTouch()) void this.requestFrom(peer.name);
    });
  }

  /** Requests stale data periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      requestIntervalMs,
      signal,
      () => this.requestIfStale(),
      (error) => {
        this._structure.log.error("peer-exchange-failed", { cause: String(error) });
      },
    );
  }

  /**
   * Broadcasts to all peers that an endpoint is suspected, and by which evidence.
   * @param ageMs - Time since the beginning of the failed attempt.
   */
  broadcastSuspicion(endpointId: string, evidence: SuspicionEvidence, ageMs = 0): void {
    this._notifyAboutEndpoint(endpointId, peerTopics.suspect, { evidence, ageMs });
  }

  /** Passes the suspicions that peers report to `listener`, which verifies them, instead of recording them. */
  onSuspicion(listener: (endpointId: string, suspicion: ReportedSuspicion) => void): void {
    this._suspicionListener = listener;
  }

  /** Broadcasts to this zone that an endpoint rejected a request for lack of capacity. Most of the endpoint's load comes from this zone. */
  broadcastFull(endpointId: string): void {
    this._notifyAboutEndpoint(endpointId, peerTopics.full, {}, this._isOwnZone);
  }

  /** Broadcasts to all peers the slowness that an engine reports. */
  broadcastSlowness(endpointId: string, slowness: number): void {
    this._notifyAboutEndpoint(endpointId, peerTopics.slowness, { slowness });
  }

  /** Broadcasts to all peers that an endpoint's process has restarted. Their lists show this up to one heartbeat and two reads later. */
  broadcastRestart(endpointId: string, bornAtMs: number): void {
    this._structure.membership.notifyAll(peerTopics.restarted, { endpointId, bornAtMs });
  }

  /** Broadcasts to all peers that a version of the configuration has come into force at this instance. */
  broadcastVersion(version: number): void {
    this._structure.membership.notifyAll(peerTopics.newVersion, { version });
  }

  /**
   * Broadcasts to all peers which layers an engine has loaded, if they differ from those in the list of endpoints.
   * @param replaced - The layers in the list of this instance. Peers whose lists show others have read an entry that may be newer than the
   * report.
   */
  broadcastLayers(endpointId: string, layers: readonly LayerSpan[], replaced?: readonly LayerSpan[]): void {
    this._notifyAboutEndpoint(endpointId, peerTopics.layers, { layers, replaced });
  }

  private _notifyAboutEndpoint(
    endpointId: string,
    topic: string,
    fields: object = {},
    isRecipient?: (member: Member) => boolean,
  ): void {
    const { endpoints, membership } = this._structure;
    const lifeId = endpoints.get(endpointId)?.lifeId ?? endpointId;
    membership.notifyAll(topic, { lifeId, ...fields }, isRecipient);
  }

  private readonly _isOwnZone = (member: Member): boolean =>
    member.availabilityZone === this._structure.membership.self.availabilityZone;

  private _subscribeToEndpointNotices(): void {
    const { endpoints } = this._structure;
    this._onEndpointNotice(peerTopics.suspect, suspicionSchema, ({ id }, { evidence, ageMs }, from) =>
      this._suspicionListener(id, { evidence, ageMs, reporter: from.name }),
    );
    this._onEndpointNotice(peerTopics.full, endpointNoticeSchema, (endpoint) =>
      endpoint.noteFull(this._nowMs()),
    );
    this._onEndpointNotice(peerTopics.slowness, slownessSchema, (endpoint, { slowness }) => {
      endpoint.slowness = slowness;
    });
    this._onEndpointNotice(peerTopics.layers, loadedLayersSchema, (endpoint, { layers, replaced }) => {
      const isKnown = replaced === undefined || areSameLayers(replaced, endpoint.listed.layers);
      if (isKnown) endpoints.setLayers(endpoint, layers);
    });
  }

  /** Handles notices of peers about an endpoint. Notices about an earlier or unknown life of its process are ignored. */
  private _onEndpointNotice<T extends { lifeId: string }>(
    topic: string,
    schema: zod.ZodType<T>,
    handle: (endpoint: Endpoint, message: T, from: PeerIdentity) => void,
  ): void {
    const { membership, endpoints, log } = this._structure;
    membership.onNotice(topic, (body, from) => {
      const message = schema.safeParse(body);
      if (!message.success) return logInvalidPeerMessage(log, topic, from);
      const endpoint = endpoints.getLife(message.data.lifeId);
      if (endpoint !== undefined) handle(endpoint, message.data, from);
    });
  }

  private _handleRestart(body: unknown, from: PeerIdentity): void {
    const message = restartSchema.safeParse(body);
    const { endpoints, log } = this._structure;
    if (!message.success) return logInvalidPeerMessage(log, peerTopics.restarted, from);
    endpoints.noteStart(message.data.endpointId, message.data.bornAtMs, []);
  }

  private _handleNewVersion(body: unknown, from: PeerIdentity): void {
    const notice = versionSchema.safeParse(body);
    if (!notice.success) return logInvalidPeerMessage(this._structure.log, peerTopics.newVersion, from);
    void this._configurations.handleNewVersion(from.name, notice.data.version);
  }

  /**
   * Requests the list of instances from a newly linked peer, but only if this instance does not reach the registry. Otherwise the
   * registry has the same list: at 195 instances it has 15 KB, and an instance that starts would get it from about fifty peers, twelve
   * of them in other zones.
   */
  private async _requestInstances(peer: PeerIdentity): Promise<void> {
    if (this._structure.isRegistryReached()) return;
    const instances = await this._request(peer.name, peerTopics.instances, null, instancesSchema);
    if (instances !== undefined) this._structure.addInstances(instances);
  }

  /** Requests the configuration and the list of endpoints from peers if they are stale at this instance. */
  async requestIfStale(): Promise<void> {
    const linked = this._structure.membership.getLinked().map((member) => member.name);
    const sampled = utils.sample(linked, peersPerRound, this._random);
    await Promise.all([
      this._configurations.requestIfStale(sampled),
      ...(this._isListStale() ? sampled.map((name) => this._requestEndpoints(name)) : []),
    ]);
  }

  /**
   * Requests the configuration and the list of endpoints from a peer at once, unless such requests are open to it or to enough others: at the
   * end of a cut all links come back at the same time.
   */
  async requestFrom(name: string): Promise<void> {
    if (this._asked.has(name) || this._asked.size >= peersPerRound) return;
    this._asked.add(name);
    const requests = [this._configurations.requestFrom(name), this._requestEndpoints(name)];
    await Promise.all(requests).finally(() => this._asked.delete(name));
  }

  /** Returns whether what this instance has read before is outdated. An instance that starts reads the store. */
  private _isOutOfTouch(): boolean {
    const hasRead = this._structure.getEndpointListOffset() !== undefined;
    return hasRead && (this._isListStale() || this._configurations.isStale());
  }

  private _isListStale(): boolean {
    return this._structure.getEndpointListAgeMs() > staleListAfterMs;
  }

  /**
   * Responds with the list of endpoints. A requester of an earlier version would take missing endpoints for gone, and lose the requests
   * that they are working on, or for listed ones, and keep them for good: it gets no list while there are any.
   */
  private _respondEndpoints(body: unknown): unknown {
    const { endpoints, getEndpointListAgeMs, getEndpointListOffset } = this._structure;
    const nextOffset = getEndpointListOffset();
    if (nextOffset === undefined) return undefined;
    const proofAgeMs = getFiniteAgeMs(getEndpointListAgeMs());
    const request = endpointsRequestSchema.safeParse(body);
    if (request.success && request.data.nextOffset === nextOffset) return { proofAgeMs, nextOffset };
    const missing = endpoints.getMissing();
    if (missing.length > 0 && request.data?.readsMissing !== true) return undefined;
    return { proofAgeMs, nextOffset, endpoints: endpoints.getListed(), missing };
  }

  private async _requestEndpoints(name: string): Promise<void> {
    const requestedAtMs = this._nowMs();
    const request = { nextOffset: this._structure.getEndpointListOffset(), readsMissing: true };
    const response = await this._request(name, peerTopics.endpoints, request, endpointsResponseSchema);
    if (response === undefined) return;
    const { endpoints, missing, nextOffset, proofAgeMs } = response;
    const tookMs = this._nowMs() - requestedAtMs;
    this._structure.applyEndpointList({
      endpoints,
      missing: missing?.map(({ id, leftMs }) => ({ id, leftMs: Math.max(0, leftMs - tookMs) })),
      nextOffset,
      freshAtMs: requestedAtMs - proofAgeMs,
    });
  }

  /** Sends a request to a peer, and returns undefined if no valid response arrives in time. */
  private async _request<T>(
    name: string,
    topic: string,
    body: object | null,
    schema: zod.ZodType<T>,
  ): Promise<T | undefined> {
    const reply = await this._structure.membership.request(name, topic, body, requestTimeoutMs);
    const response = reply.ok ? schema.safeParse(reply.val) : undefined;
    return response?.success === true ? response.data : undefined;
  }
}
