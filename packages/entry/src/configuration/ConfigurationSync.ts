/** Keeps the configuration at the highest offset that the log or any peer knows. */
import { utils } from "@shedtiller/common";
import {
  configurationStateSchema,
  configurationStream,
  recordVersion,
  type ConfigurationFold,
  type SnapshotRecord,
} from "@shedtiller/intent";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import { logRecordSchema, type LogService } from "@shedtiller/logservice";
import * as zod from "zod";

const sinceTopic = "configuration";
const offsetField = "offset";
const updateTopic = "configuration-news";
const requestTimeoutMs = 2_000;
const snapshotTickMs = 5_000;
const maxRecordsPerSnapshot = 500;
/** A snapshot is written when this part of the retention has gone since the last one. */
const snapshotRetentionFraction = 0.25;

const sinceSchema = zod.object({ offset: zod.number().int() });
const answerSchema = zod.object({
  offset: zod.number().int(),
  records: zod.array(logRecordSchema).optional(),
  state: configurationStateSchema.optional(),
});

/** What the sync works on. */
export interface ConfigurationSyncStructure {
  readonly configuration: ConfigurationFold;
  readonly membership: Membership;
  readonly log: LogService;
  readonly logRetentionMs: number;
}

/** Learns from peers, tells peers, and writes snapshots before records age out. */
export class ConfigurationSync {
  private readonly _pendingPeers = new Set<string>();
  private readonly _answeredPeers = new Set<string>();

  constructor(private readonly _structure: ConfigurationSyncStructure) {
    const { configuration, membership } = _structure;
    membership.addHeartbeatField(offsetField, () => configuration.offset);
    membership.onRequest(sinceTopic, (body) => this._answer(body));
    membership.onNotice(updateTopic, (body, from) => {
      if (typeof body === "number" && body > configuration.offset) void this._requestUpdate(from);
    });
    membership.onLinked((peer) => void this._requestUpdate(peer));
    configuration.onChanged(() => membership.notifyAll(updateTopic, configuration.offset));
  }

  /** Offset that a peer last told, or -1. */
  getPeerOffset(name: string): number {
    const offset = this._structure.membership.getMember(name)?.heartbeat[offsetField];
    return typeof offset === "number" ? offset : -1;
  }

  /** Whether every peer that is linked now has been asked for its configuration. */
  get hasAnswerOfEveryPeer(): boolean {
    return this._structure.membership.getLinked().every((member) => this._answeredPeers.has(member.name));
  }

  /** Asks the peers that are ahead, and writes snapshots, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const ignore = (): void => undefined;
    await Promise.all([
      utils.repeat(utils.msPerSecond, signal, () => this._requestFromNewerPeers(), ignore),
      utils.repeat(snapshotTickMs, signal, () => this._writeSnapshotIfDue(), ignore),
    ]);
  }

  private _requestFromNewerPeers(): void {
    const { membership, configuration } = this._structure;
    for (const member of membership.getLinked())
      if (this.getPeerOffset(member.name) > configuration.offset) void this._requestUpdate(member);
  }

  private async _requestUpdate(peer: PeerIdentity): Promise<void> {
    if (this._pendingPeers.has(peer.name)) return;
    this._pendingPeers.add(peer.name);
    const { membership, configuration } = this._structure;
    const reply = await membership.request(
      peer.name,
      sinceTopic,
      { offset: configuration.offset },
      requestTimeoutMs,
    );
    this._pendingPeers.delete(peer.name);
    if (reply.err) return;
    const answer = answerSchema.safeParse(reply.val);
    if (!answer.success) return;
    this._answeredPeers.add(peer.name);
    if (answer.data.records !== undefined) configuration.adoptRecords(answer.data.records);
    if (answer.data.state !== undefined) configuration.adoptState(answer.data.state);
  }

  private _answer(body: unknown): unknown {
    const { configuration } = this._structure;
    const asked = sinceSchema.safeParse(body);
    if (!asked.success) return undefined;
    const records = configuration.getRecordsSince(asked.data.offset);
    if (records.ok) return { offset: configuration.offset, records: records.val };
    return { offset: configuration.offset, state: configuration.state };
  }

  private async _writeSnapshotIfDue(): Promise<void> {
    const { configuration, membership, log, logRetentionMs } = this._structure;
    if (configuration.offset < 0 || configuration.isMissingPast || !membership.ownsDuty("snapshot")) return;
    const last = configuration.lastSnapshot;
    const ageMs = last === undefined ? Number.POSITIVE_INFINITY : utils.wallMs() - last.atMs;
    const isDue =
      ageMs > logRetentionMs * snapshotRetentionFraction ||
      configuration.offset - (last?.offset ?? -1) > maxRecordsPerSnapshot;
    if (!isDue) return;
    const record: SnapshotRecord = { version: recordVersion, type: "snapshot", state: configuration.state };
    await log.append(configurationStream, utils.newId(), record);
  }
}
