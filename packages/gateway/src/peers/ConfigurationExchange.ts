/**
 * How an instance that the store does not serve gets the configuration from its peers. Answers tell versions, proofs and small changes
 * only. A whole configuration comes as a message of its own, from one peer at a time, and is taken whenever it comes.
 *
 * A whole configuration that is waited for like an answer is lost where it takes longer than the wait, and one that is asked for again
 * meanwhile delays the next: with 0.45 MB, links of 14 Mbit/s and two peers asked every 400 ms, instances stayed behind for as long as
 * they were watched, and were still behind 13 s after the store had come back.
 */
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
  configurationAnswerSchema,
  configurationQuestionSchema,
  peerTopics,
  wholeConfigurationSchema,
  type ConfigurationAnswer,
} from "./peerMessages.js";

/** Without a younger proof of the configuration an instance asks its peers; a sound proof is up to 3 s old. */
const askWhenProofOlderMs = 3_200;
/** Something newer is known, but the store does not give it: peers are asked after this. */
const askWhenBehindMs = 600;
/** A peer that tells of a new version is asked for it after this, unless the store has given it meanwhile. */
const askWhenToldMs = 700;
/** An instance that starts leaves the store this time to give it a configuration, before it wants one from a peer. */
const wholeAfterStartMs = 600;
/** Answers have a few KB at most, and come within some 5 ms; a peer that takes longer is slow or gone. */
const answerTimeoutMs = 400;
/** An instance sends a whole configuration this often at most: 0.45 MB take 0.26 s of a link of 14 Mbit/s. Who has got it serves others. */
const wholeIntervalMs = 300;
/** Of the peers that have something newer so many are asked in turn; each may be sending to another one. */
const holdersAsked = 3;
/** For this long nobody else is asked for a whole configuration, and twice as long each time that none has come. */
const firstPatienceMs = 1_000;
const longestPatienceMs = 8_000;

/** The configuration in force here, and how far it is from what the store has. */
export interface ConfigurationState {
  readonly activeConfiguration: ActiveConfiguration;
  readonly history: ConfigurationHistory;
  /** For how long a newer configuration has been known to exist that the store did not give. */
  readonly getBehindMs: () => number;
  /** Where the store's history goes on after the configuration in force; undefined before the first read. */
  readonly getOffset: () => number | undefined;
  /** Takes note that what the store has before an offset is in force. */
  readonly takeAhead: (nextOffset: number) => void;
}

/** What the exchange works with. */
export interface ConfigurationExchangeStructure extends ConfigurationState {
  readonly membership: Pick<Membership, "getLinked" | "notifyAll" | "onNotice" | "onRequest" | "request">;
  readonly log: DecisionLog;
  /** Tells the instances of this zone that a version has come into force here. */
  readonly broadcastToZone: (version: number) => void;
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
  /** From 0 to 1. */
  readonly random: () => number;
}

/** One exchange an instance. */
export class ConfigurationExchange {
  /** The newest version that each peer is known to have. */
  private readonly _versions = new Map<string, number>();
  /** Since when a newer version has been known to be in force at a peer. */
  private _toldSinceMs = 0;
  /** Whether a peer is about to be asked for a new version: many peers tell of one. */
  private _isAsking = false;
  private readonly _startedAtMs: number;
  /** Until when a whole configuration is expected from the peer that was asked for it. */
  private _expectedUntilMs = Number.NEGATIVE_INFINITY;
  private _patienceMs = firstPatienceMs;
  /** The newest proof that a peer gave. */
  private _proof = { version: -1, atMs: Number.NEGATIVE_INFINITY };
  private _wholeSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: ConfigurationExchangeStructure) {
    const { membership } = _structure;
    this._startedAtMs = _structure.nowMs();
    membership.onRequest(peerTopics.configuration, (body, from) => this._answer(body, from));
    membership.onNotice(peerTopics.wholeConfiguration, (body, from) => this._takeWhole(body, from));
  }

  /** Takes note that a peer has a new version in force, and asks it once the store has had its time to give it. */
  async takeNewVersion(name: string, version: number): Promise<void> {
    this._noteTold(name, version);
    if (version <= this._structure.activeConfiguration.version || this._isAsking) return;
    this._isAsking = true;
    if (this._isStarting() || !this.isStale()) await this._structure.pause(askWhenToldMs);
    this._isAsking = false;
    if (version > this._structure.activeConfiguration.version) await this.ask(name);
  }

  /** Whether something newer has been known to exist for a while, or nothing has been proven for too long. */
  isStale(): boolean {
    const { activeConfiguration: keeper, getBehindMs, nowMs } = this._structure;
    const isTold = this._getHolders().length > 0 && nowMs() - this._toldSinceMs >= askWhenToldMs;
    return isTold || getBehindMs() > askWhenBehindMs || keeper.getFreshnessAgeMs() > askWhenProofOlderMs;
  }

  /**
   * Asks peers if this instance is stale: those that are known to have something newer, and some others.
   * @param others - Peers picked by chance.
   */
  async askIfStale(others: readonly string[]): Promise<void> {
    if (!this.isStale()) {
      this._patienceMs = firstPatienceMs;
      return;
    }
    const holders = utils.sample(this._getHolders(), holdersAsked, this._structure.random);
    for (const name of holders) {
      if (this._versions.has(name)) await this.ask(name);
    }
    await Promise.all(others.map((name) => this.ask(name)));
  }

  /** Asks a peer for its version, its proof and what changed, and for a whole configuration if that is due and none is expected. */
  async ask(name: string): Promise<void> {
    const { membership, activeConfiguration: keeper, log, nowMs } = this._structure;
    const askedAtMs = nowMs();
    const wantsWhole = this._wantsWhole();
    if (wantsWhole) this._expectedUntilMs = askedAtMs + answerTimeoutMs;
    const question = { version: keeper.version, wantsWhole };
    const reply = await membership.request(name, peerTopics.configuration, question, answerTimeoutMs);
    const answer = reply.ok ? configurationAnswerSchema.safeParse(reply.val).data : undefined;
    const tookMs = Math.round(nowMs() - askedAtMs);
    log.info("configuration-asked", { peer: name, ...question, answered: answer?.version, tookMs });
    if (wantsWhole) this._expectWhole(answer?.isWholeComing === true);
    if (answer === undefined) this._versions.delete(name);
    else this._takeAnswer(name, answer, askedAtMs);
  }

  /** Linked peers that are known to have something newer. Others could not send it: a question is passed on, a message is not. */
  private _getHolders(): string[] {
    const { activeConfiguration: keeper, membership } = this._structure;
    for (const [name, told] of this._versions) if (told <= keeper.version) this._versions.delete(name);
    if (this._versions.size === 0) return [];
    const linked = membership.getLinked().map((member) => member.name);
    return linked.filter((name) => this._versions.has(name));
  }

  private _noteTold(name: string, version: number): void {
    if (version <= this._structure.activeConfiguration.version) return;
    if (this._getHolders().length === 0) this._toldSinceMs = this._structure.nowMs();
    this._versions.set(name, version);
  }

  private _wantsWhole(): boolean {
    return !this._isStarting() && this.isStale() && this._structure.nowMs() >= this._expectedUntilMs;
  }

  private _isStarting(): boolean {
    const { activeConfiguration: keeper, nowMs } = this._structure;
    return keeper.table === undefined && nowMs() - this._startedAtMs < wholeAfterStartMs;
  }

  private _takeAnswer(name: string, answer: ConfigurationAnswer, askedAtMs: number): void {
    const { activeConfiguration: keeper, history } = this._structure;
    const { version, proofAgeMs, delta } = answer;
    if (delta !== undefined && history.newest?.version === delta.baseVersion) {
      this._accept(applyDelta(history.newest, delta), answer.nextOffset);
    }
    this._noteTold(name, version);
    // The peer's proof is as old as it says, counted from before we asked. It may be for a configuration that comes next.
    this._proof = { version, atMs: askedAtMs - proofAgeMs };
    keeper.confirmFreshness(version, this._proof.atMs);
  }

  private _expectWhole(isComing: boolean): void {
    if (!isComing) {
      this._expectedUntilMs = Number.NEGATIVE_INFINITY;
      return;
    }
    this._expectedUntilMs = this._structure.nowMs() + this._patienceMs;
    this._patienceMs = Math.min(longestPatienceMs, 2 * this._patienceMs);
  }

  private _answer(body: unknown, from: PeerIdentity): unknown {
    const question = configurationQuestionSchema.safeParse(body);
    const { activeConfiguration: keeper, history, getOffset } = this._structure;
    const { newest } = history;
    if (!question.success || newest === undefined) return undefined;
    const { version, wantsWhole } = question.data;
    const proofAgeMs = getFiniteAgeMs(keeper.getFreshnessAgeMs());
    const answer = { version: newest.version, proofAgeMs, nextOffset: getOffset(), isWholeComing: false };
    if (version >= newest.version) return answer;
    const delta = history.getDeltaFrom(version);
    if (delta !== undefined) return { ...answer, delta };
    return { ...answer, isWholeComing: wantsWhole && this._sendWhole(from, newest) };
  }

  /** Sends a whole configuration, unless one is on its way already; tells whether it did. */
  private _sendWhole(to: PeerIdentity, configuration: GatewayConfiguration): boolean {
    const { membership, getOffset, nowMs, pause, log } = this._structure;
    if (nowMs() - this._wholeSentAtMs < wholeIntervalMs) return false;
    this._wholeSentAtMs = nowMs();
    const body = { configuration, nextOffset: getOffset() };
    log.info("configuration-sent", { peer: to.name, version: configuration.version });
    // Messages of a link come in their order, and the answer must not stand behind this one.
    void pause(0).then(() => {
      membership.notifyAll(peerTopics.wholeConfiguration, body, (member) => member.name === to.name);
    });
    return true;
  }

  /** Versions never go back, so that it doesn't matter when it was asked for. */
  private _takeWhole(body: unknown, from: PeerIdentity): void {
    const whole = wholeConfigurationSchema.safeParse(body);
    if (!whole.success) {
      return logInvalidPeerMessage(this._structure.log, peerTopics.wholeConfiguration, from);
    }
    this._expectedUntilMs = Number.NEGATIVE_INFINITY;
    this._patienceMs = firstPatienceMs;
    this._accept(whole.data.configuration, whole.data.nextOffset);
  }

  /** Others of the zone are told, since they are likely to lack it too: nobody reads the store for them. */
  private _accept(configuration: GatewayConfiguration, nextOffset: number | undefined): void {
    const { activeConfiguration: keeper, takeAhead, broadcastToZone: tellZone } = this._structure;
    if (configuration.version <= keeper.version) return;
    if (nextOffset !== undefined) takeAhead(nextOffset);
    keeper.accept(configuration, "peer");
    keeper.confirmFreshness(this._proof.version, this._proof.atMs);
    tellZone(configuration.version);
  }
}
