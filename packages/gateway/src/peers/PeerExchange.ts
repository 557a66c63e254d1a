/** What instances tell each other: evidence against endpoints, the configuration and the list of endpoints. */
import { utils } from "@shedtiller/common";
import type { Member, Membership, PeerIdentity } from "@shedtiller/membership";
import type * as zod from "zod";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { LayerSpan, ListedEndpoint } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { ConfigurationExchange, type ConfigurationState } from "./ConfigurationExchange.js";
import { getFiniteAgeMs } from "./getFiniteAgeMs.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import {
  endpointsAnswerSchema,
  heldLayersSchema,
  instancesSchema,
  listQuestionSchema,
  peerTopics,
  restartSchema,
  slownessSchema,
  endpointSchema,
  versionSchema,
} from "./peerMessages.js";
import type { RegisteredInstance } from "./PeerRegistry.js";

/** Without a younger proof of the list of endpoints an instance asks its peers; a sound proof is up to 0.8 s old. */
const askListAfterMs = 1_500;
const askIntervalMs = 400;
const askTimeoutMs = 400;
/** Peers asked each time. */
const peersAsked = 2;

/** What the exchange works with. */
export interface PeerExchangeStructure extends ConfigurationState {
  readonly membership: Pick<
    Membership,
    "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice" | "onRequest" | "request"
  >;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** How old the newest proof is that the list of endpoints is complete. */
  readonly getListAgeMs: () => number;
  /** Where the store's list goes on after what this instance has read; undefined before the first read. */
  readonly getListOffset: () => number | undefined;
  /** Takes a list that was complete at `provenAtMs`; undefined where it is the one that this instance has. */
  readonly takeList: (
    list: readonly ListedEndpoint[] | undefined,
    nextOffset: number,
    provenAtMs: number,
  ) => void;
  /** Whether the last read of the registry of instances gave an answer. */
  readonly isRegistryReached: () => boolean;
  readonly getInstances: () => readonly RegisteredInstance[];
  readonly takeInstances: (instances: readonly RegisteredInstance[]) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
  /** From 0 to 1, replaced in tests. */
  readonly random?: () => number;
}

/** One exchange an instance. */
export class PeerExchange {
  private readonly _configurations: ConfigurationExchange;
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;
  private readonly _random: () => number;

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
    this._listenForEndpoints();
    membership.onNotice(peerTopics.restarted, (body, from) => this._takeRestart(body, from));
    membership.onNotice(peerTopics.newVersion, (body, from) => this._takeNewVersion(body, from));
    membership.onRequest(peerTopics.endpoints, (body) => this._answerEndpoints(body));
    membership.onRequest(peerTopics.instances, () => [..._structure.getInstances()]);
    membership.onLinked((peer) => void this._greet(peer));
  }

  /** Asks from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      askIntervalMs,
      signal,
      () => this.askIfStale(),
      (error) => {
        this._structure.log.error("peer-exchange-failed", { cause: String(error) });
      },
    );
  }

  /** Tells all peers of evidence against an endpoint. */
  broadcastSuspicion(endpointId: string): void {
    this._tellOf(endpointId, peerTopics.suspect);
  }

  /** Tells the peers of this zone that an endpoint refused for want of room: most of what it gets comes from them. */
  broadcastFull(endpointId: string): void {
    this._tellOf(endpointId, peerTopics.full, {}, this._isOwnZone);
  }

  /** Tells all peers how slow an engine says that it is. */
  broadcastSlowness(endpointId: string, slowness: number): void {
    this._tellOf(endpointId, peerTopics.slowness, { slowness });
  }

  /** Tells all peers that an endpoint's process has started again: the list tells it up to a heartbeat and two reads later. */
  broadcastRestart(endpointId: string, bornAtMs: number): void {
    this._structure.membership.notifyAll(peerTopics.restarted, { endpointId, bornAtMs });
  }

  /** Tells all peers that a version has come into force here. */
  broadcastVersion(version: number): void {
    this._structure.membership.notifyAll(peerTopics.newVersion, { version });
  }

  /** Tells all peers which layers an engine holds, where the list has others. */
  broadcastLayers(endpointId: string, layers: readonly LayerSpan[]): void {
    this._tellOf(endpointId, peerTopics.layers, { layers });
  }

  private _tellOf(
    endpointId: string,
    topic: string,
    more: object = {},
    wants?: (member: Member) => boolean,
  ): void {
    const { endpoints, membership } = this._structure;
    const lifeId = endpoints.get(endpointId)?.lifeId ?? endpointId;
    membership.notifyAll(topic, { lifeId, ...more }, wants);
  }

  private readonly _isOwnZone = (member: Member): boolean =>
    member.availabilityZone === this._structure.membership.self.availabilityZone;

  private _listenForEndpoints(): void {
    const { endpoints } = this._structure;
    this._onEndpoint(peerTopics.suspect, endpointSchema, (endpoint) => endpoints.suspect(endpoint.id));
    this._onEndpoint(peerTopics.full, endpointSchema, (endpoint) => endpoint.noteFull(this._nowMs()));
    this._onEndpoint(peerTopics.slowness, slownessSchema, (endpoint, { slowness }) => {
      endpoint.slowness = slowness;
    });
    this._onEndpoint(peerTopics.layers, heldLayersSchema, (endpoint, { layers }) =>
      endpoints.setLayers(endpoint, layers),
    );
  }

  /** Takes what peers tell of an endpoint, if it is of the life of its process that is known here. */
  private _onEndpoint<T extends { lifeId: string }>(
    topic: string,
    schema: zod.ZodType<T>,
    take: (endpoint: Endpoint, told: T) => void,
  ): void {
    const { membership, endpoints, log } = this._structure;
    membership.onNotice(topic, (body, from) => {
      const told = schema.safeParse(body);
      if (!told.success) return logInvalidPeerMessage(log, topic, from);
      const endpoint = endpoints.getLife(told.data.lifeId);
      if (endpoint !== undefined) take(endpoint, told.data);
    });
  }

  private _takeRestart(body: unknown, from: PeerIdentity): void {
    const told = restartSchema.safeParse(body);
    const { endpoints, log } = this._structure;
    if (!told.success) return logInvalidPeerMessage(log, peerTopics.restarted, from);
    endpoints.noteStart(told.data.endpointId, told.data.bornAtMs, []);
  }

  private _takeNewVersion(body: unknown, from: PeerIdentity): void {
    const notice = versionSchema.safeParse(body);
    if (!notice.success) return logInvalidPeerMessage(this._structure.log, peerTopics.newVersion, from);
    void this._configurations.takeNewVersion(from.name, notice.data.version);
  }

  /**
   * An instance that does not reach the registry learns of the others from whoever it is linked to. The others have the same list from
   * the registry: at 195 instances it is 15 KB, and each would get it from some fifty peers at each start, twelve of them in other zones.
   */
  private async _greet(peer: PeerIdentity): Promise<void> {
    if (this._structure.isRegistryReached()) return;
    const instances = await this._ask(peer.name, peerTopics.instances, null, instancesSchema);
    if (instances !== undefined) this._structure.takeInstances(instances);
  }

  /** Asks some peers for what is stale here. */
  async askIfStale(): Promise<void> {
    const { membership, getListAgeMs } = this._structure;
    const linked = membership.getLinked().map((member) => member.name);
    const asked = utils.sample(linked, peersAsked, this._random);
    const isListStale = getListAgeMs() > askListAfterMs;
    await Promise.all([
      this._configurations.askIfStale(asked),
      ...(isListStale ? asked.map((name) => this._askEndpoints(name)) : []),
    ]);
  }

  private _answerEndpoints(body: unknown): unknown {
    const nextOffset = this._structure.getListOffset();
    if (nextOffset === undefined) return undefined;
    const proofAgeMs = getFiniteAgeMs(this._structure.getListAgeMs());
    const question = listQuestionSchema.safeParse(body);
    if (question.success && question.data.nextOffset === nextOffset) return { proofAgeMs, nextOffset };
    const endpoints = this._structure.endpoints.getAll().map((endpoint) => endpoint.listed);
    return { proofAgeMs, nextOffset, endpoints };
  }

  private async _askEndpoints(name: string): Promise<void> {
    const askedAtMs = this._nowMs();
    const question = { nextOffset: this._structure.getListOffset() };
    const answer = await this._ask(name, peerTopics.endpoints, question, endpointsAnswerSchema);
    if (answer === undefined) return;
    this._structure.takeList(answer.endpoints, answer.nextOffset, askedAtMs - answer.proofAgeMs);
  }

  /** Asks a peer; undefined where it does not answer, or not in the form that is due. */
  private async _ask<T>(
    name: string,
    topic: string,
    question: object | null,
    schema: zod.ZodType<T>,
  ): Promise<T | undefined> {
    const reply = await this._structure.membership.request(name, topic, question, askTimeoutMs);
    const answer = reply.ok ? schema.safeParse(reply.val) : undefined;
    return answer?.success === true ? answer.data : undefined;
  }
}
