/** What instances tell each other: load, evidence against endpoints, the configuration and the list of endpoints. */
import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import * as zod from "zod";
import type { ConfigurationKeeper } from "../configuration/ConfigurationKeeper.js";
import { gatewayConfigurationSchema } from "../configuration/gatewayConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { listedEndpointSchema } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { registeredInstanceSchema, type RegisteredInstance } from "./PeerRegistry.js";

const loadTopic = "load";
const suspectTopic = "suspect";
const slownessTopic = "slowness";
const newVersionTopic = "new-version";
const configurationTopic = "configuration";
const endpointsTopic = "endpoints";
const instancesTopic = "instances";

/** Load is told this often; a stream lives for seconds. */
const loadIntervalMs = 200;
/** Without a proof of its own younger than this an instance asks its peers. */
const askWhenOlderThanMs = 2_500;
const askIntervalMs = 400;
const askTimeoutMs = 400;
/** Peers asked each time. */
const peersAsked = 2;

const loadSchema = zod.record(zod.string(), zod.tuple([zod.number(), zod.number()]));
const slownessSchema = zod.object({ endpointId: zod.string(), slowness: zod.number() });
const suspectSchema = zod.object({ endpointId: zod.string() });
const questionSchema = zod.object({ version: zod.number() });
const configurationAnswerSchema = zod.object({
  version: zod.number(),
  /** How old the answerer's own proof is that nothing newer exists. */
  proofAgeMs: zod.number().nonnegative(),
  /** Left out where the asker has it already. */
  configuration: gatewayConfigurationSchema.optional(),
});
const endpointsAnswerSchema = zod.object({
  proofAgeMs: zod.number().nonnegative(),
  endpoints: zod.array(listedEndpointSchema),
});
const instancesSchema = zod.array(registeredInstanceSchema);

/** What the exchange works with. */
export interface PeerExchangeStructure {
  readonly membership: Membership;
  readonly keeper: ConfigurationKeeper;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** How old the newest proof is that the list of endpoints is complete. */
  readonly getListAgeMs: () => number;
  /** Takes a list that was complete at `provenAtMs`. */
  readonly takeList: (
    answer: zod.infer<typeof endpointsAnswerSchema>["endpoints"],
    provenAtMs: number,
  ) => void;
  readonly getInstances: () => readonly RegisteredInstance[];
  readonly takeInstances: (instances: readonly RegisteredInstance[]) => void;
}

/** One exchange an instance. */
export class PeerExchange {
  private _lastLoad = "";

  constructor(private readonly _structure: PeerExchangeStructure) {
    const { membership } = _structure;
    membership.onNotice(loadTopic, (body, from) => this._takeLoad(body, from));
    membership.onNotice(suspectTopic, (body) => this._takeSuspicion(body));
    membership.onNotice(slownessTopic, (body) => this._takeSlowness(body));
    membership.onNotice(newVersionTopic, (body, from) => void this._takeNewVersion(body, from));
    membership.onRequest(configurationTopic, (body) => this._answerConfiguration(body));
    membership.onRequest(endpointsTopic, () => this._answerEndpoints());
    membership.onRequest(instancesTopic, () => [..._structure.getInstances()]);
    membership.onLinked((peer) => void this._greet(peer));
  }

  async run(signal: AbortSignal): Promise<void> {
    const onError = (error: unknown): void =>
      this._structure.log.error("peer-exchange-failed", { cause: String(error) });
    await Promise.all([
      utils.repeat(loadIntervalMs, signal, () => this._tellLoad(), onError),
      utils.repeat(askIntervalMs, signal, () => this._askIfStale(), onError),
    ]);
  }

  /** Tells all peers of evidence against an endpoint. */
  tellSuspicion(endpointId: string): void {
    this._structure.membership.notifyAll(suspectTopic, { endpointId });
  }

  /** Tells all peers how slow an engine says that it is. */
  tellSlowness(endpointId: string, slowness: number): void {
    this._structure.membership.notifyAll(slownessTopic, { endpointId, slowness });
  }

  /** Tells all peers that a version has come into force here. */
  tellVersion(version: number): void {
    this._structure.membership.notifyAll(newVersionTopic, { version });
  }

  private _tellLoad(): void {
    const linked = this._structure.membership.getLinked().map((member) => member.name);
    this._structure.endpoints.keepPeerLoads(new Set(linked));
    const load: Record<string, [number, number]> = {};
    for (const endpoint of this._structure.endpoints.getAll()) {
      const { requests, tokenLayers } = endpoint.own;
      if (requests > 0) load[endpoint.id] = [requests, Math.round(tokenLayers)];
    }
    const text = JSON.stringify(load);
    if (text === this._lastLoad) return;
    this._lastLoad = text;
    this._structure.membership.notifyAll(loadTopic, load);
  }

  private _takeLoad(body: unknown, from: PeerIdentity): void {
    const load = loadSchema.safeParse(body);
    if (!load.success) return this._noteBad(loadTopic, from);
    const loads = Object.entries(load.data).map(
      ([id, [requests, tokenLayers]]) => [id, { requests, tokenLayers }] as const,
    );
    this._structure.endpoints.setPeerLoads(from.name, new Map(loads));
  }

  private _takeSuspicion(body: unknown): void {
    const suspicion = suspectSchema.safeParse(body);
    if (suspicion.success) this._structure.endpoints.suspect(suspicion.data.endpointId);
  }

  private _takeSlowness(body: unknown): void {
    const told = slownessSchema.safeParse(body);
    const endpoint = told.success ? this._structure.endpoints.get(told.data.endpointId) : undefined;
    if (told.success && endpoint !== undefined) endpoint.slowness = told.data.slowness;
  }

  private async _takeNewVersion(body: unknown, from: PeerIdentity): Promise<void> {
    const notice = questionSchema.safeParse(body);
    if (!notice.success) return this._noteBad(newVersionTopic, from);
    if (notice.data.version > this._structure.keeper.version) await this._askConfiguration(from.name);
  }

  private async _greet(peer: PeerIdentity): Promise<void> {
    // A new peer does not know our load yet.
    this._lastLoad = "";
    const answer = await this._structure.membership.request(peer.name, instancesTopic, null, askTimeoutMs);
    const instances = answer.ok ? instancesSchema.safeParse(answer.val) : undefined;
    if (instances?.success === true) this._structure.takeInstances(instances.data);
  }

  private async _askIfStale(): Promise<void> {
    const { keeper, membership, getListAgeMs } = this._structure;
    const isConfigurationStale = keeper.getProofAgeMs() > askWhenOlderThanMs;
    const isListStale = getListAgeMs() > askWhenOlderThanMs;
    if (!isConfigurationStale && !isListStale) return;
    const linked = membership.getLinked().map((member) => member.name);
    const asked = pickSome(linked, peersAsked);
    await Promise.all(
      asked.flatMap((name) => [
        isConfigurationStale ? this._askConfiguration(name) : undefined,
        isListStale ? this._askEndpoints(name) : undefined,
      ]),
    );
  }

  private _answerConfiguration(body: unknown): unknown {
    const question = questionSchema.safeParse(body);
    const { keeper } = this._structure;
    const { table } = keeper;
    if (!question.success || table === undefined) return undefined;
    const proofAgeMs = Math.min(keeper.getProofAgeMs(), Number.MAX_SAFE_INTEGER);
    if (question.data.version >= table.version) return { version: table.version, proofAgeMs };
    return { version: table.version, proofAgeMs, configuration: table.configuration };
  }

  /** The peer's proof is as old as it says, counted from before we asked. */
  private async _askConfiguration(name: string): Promise<void> {
    const { keeper, membership } = this._structure;
    const askedAtMs = utils.monotonicMs();
    const reply = await membership.request(
      name,
      configurationTopic,
      { version: keeper.version },
      askTimeoutMs,
    );
    const answer = reply.ok ? configurationAnswerSchema.safeParse(reply.val) : undefined;
    if (answer?.success !== true) return;
    if (answer.data.configuration !== undefined) keeper.accept(answer.data.configuration);
    keeper.confirm(answer.data.version, askedAtMs - answer.data.proofAgeMs);
  }

  private _answerEndpoints(): unknown {
    const proofAgeMs = Math.min(this._structure.getListAgeMs(), Number.MAX_SAFE_INTEGER);
    return { proofAgeMs, endpoints: this._structure.endpoints.getAll().map((endpoint) => endpoint.listed) };
  }

  private async _askEndpoints(name: string): Promise<void> {
    const askedAtMs = utils.monotonicMs();
    const reply = await this._structure.membership.request(name, endpointsTopic, null, askTimeoutMs);
    const answer = reply.ok ? endpointsAnswerSchema.safeParse(reply.val) : undefined;
    if (answer?.success !== true) return;
    this._structure.takeList(answer.data.endpoints, askedAtMs - answer.data.proofAgeMs);
  }

  private _noteBad(topic: string, from: PeerIdentity): void {
    this._structure.log.warn("peer-message-invalid", { topic, peer: from.name });
  }
}

function pickSome<T>(items: readonly T[], count: number): T[] {
  const left = [...items];
  const picked: T[] = [];
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(Math.random() * left.length), 1));
  }
  return picked;
}
