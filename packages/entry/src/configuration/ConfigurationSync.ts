/** Synchronization of the configuration between instances. */
import { utils } from "@shedtiller/common";
import {
  configurationStateSchema,
  configurationStream,
  recordVersion,
  type ConfigurationProjection,
  type SnapshotRecord,
} from "@shedtiller/intent";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import { logRecordSchema, type LogService } from "@shedtiller/logservice";
import * as zod from "zod";

const requestTopic = "configuration";
const offsetField = "offset";
const updateTopic = "configuration-news";
const requestTimeoutMs = 2_000;
const snapshotTickMs = 5_000;
const maxRecordsPerSnapshot = 500;
/** A snapshot is written once this fraction of the log's retention time has passed since the last snapshot. */
const snapshotRetentionFraction = 0.25;

const updateRequestSchema = zod.object({ offset: zod.number().int() });
const updateReplySchema = zod.object({
  offset: zod.number().int(),
  records: zod.array(logRecordSchema).optional(),
  state: configurationStateSchema.optional(),
});

/** Dependencies of {@link ConfigurationSync}. */
export interface ConfigurationSyncStructure {
  readonly configuration: ConfigurationProjection;
  readonly membership: Membership;
  readonly log: LogService;
  readonly logRetentionMs: number;
}

/**
 * Keeps the configuration at the highest offset of the log and all peers: fetches newer records from peers, serves records
 * to peers, and writes snapshots before records age out of the log.
 */
export class ConfigurationSync {
  private readonly _pendingPeers = new Set<string>();
  private readonly _answeredPeers = new Set<string>();

  constructor(private readonly _structure: ConfigurationSyncStructure) {
    const { configuration, membership } = _structure;
    membership.addHeartbeatField(offsetField, () => configuration.offset);
    membership.onRequest(requestTopic, (body) => this._answer(body));
    membership.onNotice(updateTopic, (body, from) => {
      if (typeof body === "number" && body > configuration.offset) void this._requestUpdate(from);
    });
    membership.onLinked((peer) => void this._requestUpdate(peer));
    configuration.onChanged(() => membership.notifyAll(updateTopic, configuration.offset));
  }

  /** Returns the configuration offset in a peer's last heartbeat, or -1. */
  getPeerOffset(name: string): number {
    const offset = this._structure.membership.getMember(name)?.heartbeat[offsetField];
    return typeof offset === "number" ? offset : -1;
  }

  /** Whether every peer that is linked now has answered a request for its configuration. */
  get hasAnswerOfEveryPeer(): boolean {
    return this._structure.membership.getLinked().every((member) => this._answeredPeers.has(member.name));
  }

  /** Requests updates from peers with a higher offset, and writes snapshots, until `signal` aborts. */
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
      requestTopic,
      { offset: configuration.offset },
      requestTimeoutMs,
    );
    this._pendingPeers.delete(peer.name);
    if (reply.err) return;
    const answer = updateReplySchema.safeParse(reply.val);
    if (!answer.success) return;
    this._answeredPeers.add(peer.name);
    if (answer.data.records !== undefined) configuration.adoptRecords(answer.data.records);
    if (answer.data.state !== undefined) configuration.adoptState(answer.data.state);
  }

  private _answer(body: unknown): unknown {
    const { configuration } = this._structure;
    const request = updateRequestSchema.safeParse(body);
    if (!request.success) return undefined;
    const records = configuration.getRecordsSince(request.data.offset);
    if (records.ok) return { offset: configuration.offset, records: records.val };
    return { offset: configuration.offset, state: configuration.state };
  }

  private async _writeSnapshotIfDue(): Promise<void> {
    const { configuration, membership, log, logRetentionMs } = this._structure;
    if (configuration.offset < 0 || configuration.hasHistoryGap || !membership.ownsZoneRole("snapshot"))
      return;
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
