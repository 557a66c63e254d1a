/** What instances tell each other: evidence against endpoints, the configuration and the list of endpoints. */
import { utils } from "@shedtiller/common";
import type { Member, Membership, PeerIdentity } from "@shedtiller/membership";
import type * as zod from "zod";
import type { ConfigurationKeeper } from "../configuration/ConfigurationKeeper.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { notePeerMessageInvalid } from "./notePeerMessageInvalid.js";
import {
  configurationAnswerSchema,
  endpointsAnswerSchema,
  instancesSchema,
  listQuestionSchema,
  peerTopics,
  slownessSchema,
  endpointSchema,
  versionSchema,
} from "./peerMessages.js";
import type { RegisteredInstance } from "./PeerRegistry.js";

/** Without a younger proof of the configuration an instance asks its peers; a sound proof is up to 3 s old. */
const askConfigurationAfterMs = 3_200;
/** The same for the list of endpoints, whose proofs are up to 0.8 s old. */
const askListAfterMs = 1_500;
/** Something newer is known, but the store does not give it: peers are asked after this. */
const askWhenBehindMs = 600;
/** A peer that tells of a new version is asked for it after this, unless the store has given it meanwhile. */
const readFirstMs = 700;
const askIntervalMs = 400;
const askTimeoutMs = 400;
/** Peers asked each time. */
const peersAsked = 2;

/** What the exchange works with. */
export interface PeerExchangeStructure {
  readonly membership: Pick<
    Membership,
    "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice" | "onRequest" | "request"
  >;
  readonly keeper: ConfigurationKeeper;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** How old the newest proof is that the list of endpoints is complete. */
  readonly getListAgeMs: () => number;
  /** For how long a newer configuration has been known to exist that the store did not give. */
  readonly getConfigurationBehindMs: () => number;
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
  /** Whether a peer is about to be asked for a new version. Versions are large, and many peers tell of one. */
  private _isAsking = false;
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;

  constructor(private readonly _structure: PeerExchangeStructure) {
    const { membership } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._pause = _structure.pause ?? utils.sleep;
    membership.onNotice(peerTopics.suspect, (body, from) => this._takeSuspicion(body, from));
    membership.onNotice(peerTopics.full, (body, from) => this._takeFull(body, from));
    membership.onNotice(peerTopics.slowness, (body, from) => this._takeSlowness(body, from));
    membership.onNotice(peerTopics.newVersion, (body, from) => void this._takeNewVersion(body, from));
    membership.onRequest(peerTopics.configuration, (body) => this._answerConfiguration(body));
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
  tellSuspicion(endpointId: string): void {
    this._structure.membership.notifyAll(peerTopics.suspect, { endpointId });
  }

  /** Tells the peers of this zone that an endpoint refused for want of room: most of what it gets comes from them. */
  tellFull(endpointId: string): void {
    const { membership } = this._structure;
    const { availabilityZone } = membership.self;
    const isOwnZone = (member: Member): boolean => member.availabilityZone === availabilityZone;
    membership.notifyAll(peerTopics.full, { endpointId }, isOwnZone);
  }

  /** Tells all peers how slow an engine says that it is. */
  tellSlowness(endpointId: string, slowness: number): void {
    this._structure.membership.notifyAll(peerTopics.slowness, { endpointId, slowness });
  }

  /** Tells all peers that a version has come into force here. */
  tellVersion(version: number): void {
    this._structure.membership.notifyAll(peerTopics.newVersion, { version });
  }

  private _takeSuspicion(body: unknown, from: PeerIdentity): void {
    const suspicion = endpointSchema.safeParse(body);
    const { endpoints, log } = this._structure;
    if (!suspicion.success) return notePeerMessageInvalid(log, peerTopics.suspect, from);
    endpoints.suspect(suspicion.data.endpointId);
  }

  private _takeFull(body: unknown, from: PeerIdentity): void {
    const told = endpointSchema.safeParse(body);
    const { endpoints, log } = this._structure;
    if (!told.success) return notePeerMessageInvalid(log, peerTopics.full, from);
    endpoints.get(told.data.endpointId)?.noteFull(this._nowMs());
  }

  private _takeSlowness(body: unknown, from: PeerIdentity): void {
    const told = slownessSchema.safeParse(body);
    const { endpoints, log } = this._structure;
    if (!told.success) return notePeerMessageInvalid(log, peerTopics.slowness, from);
    const endpoint = endpoints.get(told.data.endpointId);
    if (endpoint !== undefined) endpoint.slowness = told.data.slowness;
  }

  private async _takeNewVersion(body: unknown, from: PeerIdentity): Promise<void> {
    const notice = versionSchema.safeParse(body);
    const { keeper, log } = this._structure;
    if (!notice.success) return notePeerMessageInvalid(log, peerTopics.newVersion, from);
    if (notice.data.version <= keeper.version || this._isAsking) return;
    this._isAsking = true;
    try {
      await this._pause(readFirstMs);
      if (notice.data.version > keeper.version) await this._askConfiguration(from.name);
    } finally {
      this._isAsking = false;
    }
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
    const { keeper, membership, getListAgeMs, getConfigurationBehindMs } = this._structure;
    const isConfigurationStale =
      keeper.getProofAgeMs() > askConfigurationAfterMs || getConfigurationBehindMs() > askWhenBehindMs;
    const isListStale = getListAgeMs() > askListAfterMs;
    if (!isConfigurationStale && !isListStale) return;
    const linked = membership.getLinked().map((member) => member.name);
    const asked = pickSome(linked, peersAsked, this._structure.random ?? Math.random);
    await Promise.all(
      asked.flatMap((name) => [
        isConfigurationStale ? this._askConfiguration(name) : undefined,
        isListStale ? this._askEndpoints(name) : undefined,
      ]),
    );
  }

  private _answerConfiguration(body: unknown): unknown {
    const question = versionSchema.safeParse(body);
    const { keeper } = this._structure;
    const { table } = keeper;
    if (!question.success || table === undefined) return undefined;
    const proofAgeMs = getFiniteAgeMs(keeper.getProofAgeMs());
    if (question.data.version >= table.version) return { version: table.version, proofAgeMs };
    return { version: table.version, proofAgeMs, configuration: table.configuration };
  }

  /** The peer's proof is as old as it says, counted from before we asked. */
  private async _askConfiguration(name: string): Promise<void> {
    const { keeper, log } = this._structure;
    const askedAtMs = this._nowMs();
    const question = { version: keeper.version };
    const answer = await this._ask(name, peerTopics.configuration, question, configurationAnswerSchema);
    const tookMs = Math.round(this._nowMs() - askedAtMs);
    log.info("configuration-asked", { peer: name, ...question, answered: answer?.version, tookMs });
    if (answer === undefined) return;
    if (answer.configuration !== undefined) keeper.accept(answer.configuration, "peer");
    keeper.confirm(answer.version, askedAtMs - answer.proofAgeMs);
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

/** An age without a proof is infinite, which JSON does not have. */
function getFiniteAgeMs(ageMs: number): number {
  return Math.min(ageMs, Number.MAX_SAFE_INTEGER);
}

function pickSome<T>(items: readonly T[], count: number, random: () => number): T[] {
  const left = [...items];
  const picked: T[] = [];
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return picked;
}
