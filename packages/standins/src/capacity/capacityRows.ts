/** What each duty costs one node, today and at the design size, from measured slopes and stated formulas. */
import { utils } from "@shedtiller/common";
import type { Slope } from "./slopes.js";

/** A size of the system. */
export interface FleetSize {
  readonly name: string;
  readonly nodes: number;
  readonly availabilityZones: number;
  readonly runners: number;
  readonly accounts: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly changesPerDay: number;
  readonly replacementsPerDay: number;
  /** Part of the requests that may run at most once. An assumption: the users have not stated it. */
  readonly onceShare: number;
  /** Accounts in use at once at one node. An assumption. */
  readonly activeAccounts: number;
}

export const sizes: readonly FleetSize[] = [
  {
    name: "today",
    nodes: 8,
    availabilityZones: 3,
    runners: 34,
    accounts: 10,
    requestsPerSecond: 20,
    tokensPerSecond: 3_000,
    changesPerDay: 10,
    replacementsPerDay: 6,
    onceShare: 0.05,
    activeAccounts: 10,
  },
  {
    name: "design",
    nodes: 340,
    availabilityZones: 11,
    runners: 1_500,
    accounts: 19_000,
    requestsPerSecond: 11_000,
    tokensPerSecond: 3_000_000,
    changesPerDay: 1_500,
    replacementsPerDay: 289,
    onceShare: 0.05,
    activeAccounts: 500,
  },
];

/** What a node may spend on control. */
export const budget = { cpuShare: 0.026, memoryBytes: 256 * 1024 * 1024, bytesPerSecond: 4 * 1024 };

/** One duty's cost at one node. */
export interface CapacityRow {
  readonly duty: string;
  readonly mechanism: string;
  readonly formula: string;
  readonly cpuShare: number;
  readonly memoryBytes: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
}

const secondsPerDay = 86_400;
const claimsWindowS = 600;
const claimBytes = 110;
const changeBytes = 420;
const snapshotsPerDay = 4;
const listPollsPerSecond = 2;
const notModifiedBytes = 220;
const reportFloorS = 0.2;
const reportBytesPerSecond = 1_200;
const digestFloorS = 0.5;
const digestBytesPerSecond = 800;
const reportBytes = 260;
const loadBytes = 14;
const frameBytes = 60;
const eventsPerToken = 1 / 32;
const demandBytesPerSecond = 600;
const ringEvents = 20_000;
const leaseRenewalsPerSecond = 1 / 2.4;

/** Computes all rows for one size. */
export function computeRows(slopes: ReadonlyMap<string, Slope>, size: FleetSize): CapacityRow[] {
  const context = { slopes, size, zonePeers: Math.ceil(size.nodes / size.availabilityZones) - 1 };
  return [
    createPeerRow(context),
    createReportRow(context),
    createDigestRow(context),
    createListRow(context),
    createLimitRow(context),
    createClaimRow(context),
    createConfigurationRow(context),
    createSnapshotRow(context),
    createLeaseRow(context),
    createTimelineRow(context),
  ];
}

interface Context {
  readonly slopes: ReadonlyMap<string, Slope>;
  readonly size: FleetSize;
  readonly zonePeers: number;
}

/** Value of a figure at a size, on its fitted line. */
function at({ slopes }: Context, figure: string, size: number): number {
  const slope = slopes.get(figure);
  return slope === undefined ? Number.NaN : Math.max(0, slope.intercept + slope.slope * size);
}

/** Cost of one unit: the slope itself. */
function unit({ slopes }: Context, figure: string): number {
  return Math.max(0, slopes.get(figure)?.slope ?? Number.NaN);
}

/** The largest measured value, for costs that do not grow with the size, or shrink. */
function largest({ slopes }: Context, figure: string): number {
  return Math.max(...(slopes.get(figure)?.points.map(([, value]) => value) ?? [Number.NaN]));
}

function createPeerRow(c: Context): CapacityRow {
  const contacts = 2 * 3 * (c.size.availabilityZones - 1);
  const peers = c.zonePeers + Math.min(contacts, c.size.nodes - 1 - c.zonePeers);
  return {
    duty: "peer links",
    mechanism:
      "one link a zone peer, three contacts a zone; the heartbeat's interval grows with its receivers",
    formula: `${peers} links; bytes and processor as measured at most, since the interval holds them; memory × links`,
    cpuShare: largest(c, "peers cpu"),
    memoryBytes: (largest(c, "peers memory") / 31) * peers,
    bytesPerSecond: largest(c, "peers sent"),
    messagesPerSecond: largest(c, "peers messages"),
  };
}

function createReportRow(c: Context): CapacityRow {
  const owned = c.size.runners / c.size.nodes;
  const messageBytes = frameBytes + owned * (loadBytes + reportBytes / 10);
  const intervalS = Math.max(reportFloorS, (messageBytes * c.zonePeers) / reportBytesPerSecond);
  const received = (c.size.runners / c.size.availabilityZones) * (1 / intervalS);
  return {
    duty: "steward of endpoints",
    mechanism:
      "rendezvous hashing gives each endpoint one reader a zone; loads alone, whole reports every tenth round",
    formula: `${owned.toFixed(1)} endpoints, a round every ${intervalS.toFixed(1)} s to ${c.zonePeers} peers`,
    cpuShare: (unit(c, "reports cpu") / utils.msPerSecond) * received,
    memoryBytes: at(c, "directory memory", c.size.runners),
    bytesPerSecond: (messageBytes * c.zonePeers) / intervalS,
    messagesPerSecond: c.zonePeers / intervalS,
  };
}

function createDigestRow(c: Context): CapacityRow {
  const zoneRunners = c.size.runners / c.size.availabilityZones;
  const bytes = 100 + zoneRunners * (loadBytes + reportBytes / 10);
  const zonesOwned = (c.size.availabilityZones - 1) / (c.zonePeers + 1);
  const intervalS = Math.max(digestFloorS, (bytes * zonesOwned * c.zonePeers) / digestBytesPerSecond);
  const rounds = zonesOwned / intervalS;
  return {
    duty: "digests of other zones",
    mechanism:
      "one fetcher a zone pair, which passes the digest on to its zone; fixed parts only when changed",
    formula: `${bytes.toFixed(0)} B a digest to ${c.zonePeers} peers, every ${intervalS.toFixed(1)} s`,
    cpuShare:
      (unit(c, "reports cpu") / utils.msPerSecond) *
      zoneRunners *
      ((c.size.availabilityZones - 1) / intervalS),
    memoryBytes: 0,
    bytesPerSecond: bytes * c.zonePeers * rounds,
    messagesPerSecond: c.zonePeers * rounds,
  };
}

function createListRow(c: Context): CapacityRow {
  const entries = c.size.runners + c.size.nodes;
  const changes = (2 * c.size.replacementsPerDay) / secondsPerDay;
  const pageBytes = at(c, "list page", entries);
  return {
    duty: "instance list",
    mechanism: "polled with an entity tag: the page comes only when it has changed",
    formula: `${listPollsPerSecond} polls/s of ${notModifiedBytes} B, and ${(pageBytes / 1024).toFixed(0)} KB for each change`,
    cpuShare: (at(c, "list page cpu", entries) / utils.msPerSecond) * listPollsPerSecond,
    memoryBytes: pageBytes,
    bytesPerSecond: listPollsPerSecond * notModifiedBytes + changes * pageBytes,
    messagesPerSecond: listPollsPerSecond,
  };
}

function createLimitRow(c: Context): CapacityRow {
  const bytes = at(c, "demands told", c.size.activeAccounts);
  const intervalS = Math.max(reportFloorS, (bytes * c.zonePeers) / demandBytesPerSecond);
  return {
    duty: "account limits",
    mechanism:
      "the 32 accounts in largest demand go with some of the reports; shares are computed without a round trip",
    formula: `${bytes.toFixed(0)} B to ${c.zonePeers} peers, every ${intervalS.toFixed(1)} s`,
    cpuShare:
      (at(c, "demands cpu", c.size.activeAccounts) / utils.msPerSecond) * ((c.zonePeers + 1) / intervalS),
    memoryBytes: bytes * (c.zonePeers + 1) * 4,
    bytesPerSecond: (bytes * c.zonePeers) / intervalS,
    messagesPerSecond: 0,
  };
}

function createClaimRow(c: Context): CapacityRow {
  const perSecond = c.size.requestsPerSecond * c.size.onceShare;
  const keys = perSecond * claimsWindowS;
  return {
    duty: "claims",
    mechanism: "many claims an append; every node folds them all; keys behind the horizon are dropped",
    formula: `${perSecond.toFixed(0)} claims/s × ${claimBytes} B read by every node; ${keys.toFixed(0)} keys held`,
    cpuShare: (last(c, "claims cpu") / 1e6) * perSecond,
    memoryBytes: unit(c, "claims memory") * keys,
    bytesPerSecond: perSecond * claimBytes,
    messagesPerSecond: 0,
  };
}

function createConfigurationRow(c: Context): CapacityRow {
  const perSecond = c.size.changesPerDay / secondsPerDay;
  return {
    duty: "configuration fold",
    mechanism: "every node folds the same log; only what changed is touched; records are passed on by peers",
    formula: `${c.size.changesPerDay} changes a day × ${changeBytes} B, read once and told by peers`,
    cpuShare: (at(c, "configuration change cpu", c.size.accounts) / utils.msPerSecond) * perSecond,
    memoryBytes: at(c, "configuration memory", c.size.accounts),
    bytesPerSecond: perSecond * changeBytes * 2,
    messagesPerSecond: perSecond,
  };
}

function createSnapshotRow(c: Context): CapacityRow {
  const stateBytes = at(c, "state sent to a new node", c.size.accounts);
  const starts = c.size.replacementsPerDay / c.size.nodes / secondsPerDay;
  return {
    duty: "snapshots and new nodes",
    mechanism: "one snapshot in a quarter of the log's retention; a new node takes the state from a peer",
    formula: `${(stateBytes / 1024).toFixed(0)} KB × (${snapshotsPerDay} snapshots a day, and its share of ${c.size.replacementsPerDay} new nodes)`,
    cpuShare: 0,
    memoryBytes: stateBytes,
    bytesPerSecond: stateBytes * (snapshotsPerDay / secondsPerDay + starts),
    messagesPerSecond: 0,
  };
}

function createLeaseRow(c: Context): CapacityRow {
  const holders = c.size.availabilityZones;
  const recordBytes = 330;
  return {
    duty: "leases and orders",
    mechanism: "one lease a zone, held only while engines are to be changed; every node reads its records",
    formula: `at worst ${holders} holders × ${leaseRenewalsPerSecond.toFixed(2)} renewals/s × ${recordBytes} B`,
    cpuShare: 0,
    memoryBytes: holders * 200,
    bytesPerSecond: holders * leaseRenewalsPerSecond * recordBytes,
    messagesPerSecond: holders * leaseRenewalsPerSecond,
  };
}

function createTimelineRow(c: Context): CapacityRow {
  const perSecond = (c.size.tokensPerSecond / c.size.nodes) * eventsPerToken;
  return {
    duty: "time line",
    mechanism: "a bounded ring a process; sent only when asked for",
    formula: `${perSecond.toFixed(0)} events/s; ${ringEvents} events kept`,
    cpuShare: (last(c, "timeline cpu") / 1e6) * perSecond,
    memoryBytes: at(c, "timeline memory", ringEvents),
    bytesPerSecond: 0,
    messagesPerSecond: 0,
  };
}

/** The value at the largest measured size, for costs a piece that level off. */
function last({ slopes }: Context, figure: string): number {
  const points = slopes.get(figure)?.points ?? [];
  return points[points.length - 1]?.[1] ?? Number.NaN;
}

/** The sum over all duties. */
export function sumRows(
  rows: readonly CapacityRow[],
): Pick<CapacityRow, "cpuShare" | "memoryBytes" | "bytesPerSecond"> {
  return {
    cpuShare: utils.getSum(rows.map((row) => row.cpuShare)),
    memoryBytes: utils.getSum(rows.map((row) => row.memoryBytes)),
    bytesPerSecond: utils.getSum(rows.map((row) => row.bytesPerSecond)),
  };
}
