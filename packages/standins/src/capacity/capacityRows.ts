/** Cost of each control task at one node, today and at the design size, computed from measured slopes and formulas. */
import { utils } from "@shedtiller/common";
import type { Slope } from "./slopes.js";

/** Size and load of a system. */
export interface FleetSize {
  readonly name: string;
  readonly nodes: number;
  readonly availabilityZones: number;
  readonly endpoints: number;
  readonly accounts: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly changesPerDay: number;
  readonly replacementsPerDay: number;
  /** Assumed share of the requests that may run at most once; the users have not specified the share. */
  readonly atMostOnceShare: number;
  /** Assumed number of accounts that are active at one node at the same time. */
  readonly activeAccounts: number;
}

export const sizes: readonly FleetSize[] = [
  {
    name: "today",
    nodes: 8,
    availabilityZones: 3,
    endpoints: 34,
    accounts: 10,
    requestsPerSecond: 20,
    tokensPerSecond: 3_000,
    changesPerDay: 10,
    replacementsPerDay: 6,
    atMostOnceShare: 0.05,
    activeAccounts: 10,
  },
  {
    name: "design",
    nodes: 340,
    availabilityZones: 11,
    endpoints: 1_500,
    accounts: 19_000,
    requestsPerSecond: 11_000,
    tokensPerSecond: 3_000_000,
    changesPerDay: 1_500,
    replacementsPerDay: 289,
    atMostOnceShare: 0.05,
    activeAccounts: 500,
  },
];

/** Budget of one node for control tasks. */
export const budget = { cpuShare: 0.026, memoryBytes: 256 * 1024 * 1024, bytesPerSecond: 4 * 1024 };

/** Cost of one control task at one node. */
export interface CapacityRow {
  readonly task: string;
  readonly mechanism: string;
  readonly formula: string;
  readonly cpuShare: number;
  readonly memoryBytes: number;
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
}

const secondsPerDay = 86_400;
const claimsHorizonS = 600;
/** Size of one claim in the log. */
const claimBytes = 110;
/** Size of one configuration change in the log. */
const changeBytes = 420;
const snapshotsPerDay = 4;
const listPollsPerSecond = 2;
const notModifiedBytes = 220;
/** Minimum intervals and maximum rates of the exchanges between instances, with the same values as in `ZoneStateExchange`. */
const minReportIntervalS = 0.2;
const maxReportBytesPerSecond = 1_200;
const minDigestIntervalS = 0.5;
const maxDigestBytesPerSecond = 800;
const maxDemandBytesPerSecond = 600;
const reportBytes = 260;
const loadBytes = 14;
const frameBytes = 60;
/** The timeline has one step event for every 32 tokens. */
const eventsPerToken = 1 / 32;
const timelineEvents = 20_000;
const leaseRenewalsPerSecond = 1 / 2.4;

/** Returns the rows of all control tasks for one size. */
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

interface RowContext {
  readonly slopes: ReadonlyMap<string, Slope>;
  readonly size: FleetSize;
  readonly zonePeers: number;
}

/** Returns the value of a figure at a size on its fitted line. */
function getFittedValue({ slopes }: RowContext, figure: string, size: number): number {
  const slope = slopes.get(figure);
  return slope === undefined ? Number.NaN : Math.max(0, slope.intercept + slope.slope * size);
}

/** Returns the cost per unit of size, which is the slope of a figure. */
function getUnitCost({ slopes }: RowContext, figure: string): number {
  return Math.max(0, slopes.get(figure)?.slope ?? Number.NaN);
}

/** Returns the largest measured value of a figure, for costs that are constant or fall with the size. */
function getLargestValue({ slopes }: RowContext, figure: string): number {
  return Math.max(...(slopes.get(figure)?.points.map(([, value]) => value) ?? [Number.NaN]));
}

function createPeerRow(context: RowContext): CapacityRow {
  const contacts = 2 * 3 * (context.size.availabilityZones - 1);
  const peers = context.zonePeers + Math.min(contacts, context.size.nodes - 1 - context.zonePeers);
  return {
    task: "peer links",
    mechanism:
      "one link to each peer in the zone and three contacts in each other zone; the heartbeat interval grows with the number of receivers",
    formula: `${peers} links; bytes and processor as measured at most, since the interval holds them; memory × links`,
    cpuShare: getLargestValue(context, "peers cpu"),
    // The largest measurement has 31 peers.
    memoryBytes: (getLargestValue(context, "peers memory") / 31) * peers,
    bytesPerSecond: getLargestValue(context, "peers sent"),
    messagesPerSecond: getLargestValue(context, "peers messages"),
  };
}

function createReportRow(context: RowContext): CapacityRow {
  const owned = context.size.endpoints / context.size.nodes;
  const messageBytes = frameBytes + owned * (loadBytes + reportBytes / 10);
  const intervalS = Math.max(
    minReportIntervalS,
    (messageBytes * context.zonePeers) / maxReportBytesPerSecond,
  );
  const received = (context.size.endpoints / context.size.availabilityZones) * (1 / intervalS);
  return {
    task: "steward of endpoints",
    mechanism:
      "rendezvous hashing assigns each endpoint one reader per zone; only loads are sent, and complete reports every tenth round",
    formula: `${owned.toFixed(1)} endpoints, a round every ${intervalS.toFixed(1)} s to ${context.zonePeers} peers`,
    cpuShare: (getUnitCost(context, "reports cpu") / utils.msPerSecond) * received,
    memoryBytes: getFittedValue(context, "directory memory", context.size.endpoints),
    bytesPerSecond: (messageBytes * context.zonePeers) / intervalS,
    messagesPerSecond: context.zonePeers / intervalS,
  };
}

function createDigestRow(context: RowContext): CapacityRow {
  const zoneEndpoints = context.size.endpoints / context.size.availabilityZones;
  const bytes = 100 + zoneEndpoints * (loadBytes + reportBytes / 10);
  const zonesOwned = (context.size.availabilityZones - 1) / (context.zonePeers + 1);
  const intervalS = Math.max(
    minDigestIntervalS,
    (bytes * zonesOwned * context.zonePeers) / maxDigestBytesPerSecond,
  );
  const rounds = zonesOwned / intervalS;
  return {
    task: "digests of other zones",
    mechanism:
      "one instance per pair of zones fetches the digest and forwards it to its zone; static fields are sent only after a change",
    formula: `${bytes.toFixed(0)} B a digest to ${context.zonePeers} peers, every ${intervalS.toFixed(1)} s`,
    cpuShare:
      (getUnitCost(context, "reports cpu") / utils.msPerSecond) *
      zoneEndpoints *
      ((context.size.availabilityZones - 1) / intervalS),
    memoryBytes: 0,
    bytesPerSecond: bytes * context.zonePeers * rounds,
    messagesPerSecond: context.zonePeers * rounds,
  };
}

function createListRow(context: RowContext): CapacityRow {
  const entries = context.size.endpoints + context.size.nodes;
  const changes = (2 * context.size.replacementsPerDay) / secondsPerDay;
  const pageBytes = getFittedValue(context, "list page", entries);
  return {
    task: "instance list",
    mechanism: "polled with an entity tag; the page is sent only after a change",
    formula: `${listPollsPerSecond} polls/s of ${notModifiedBytes} B, and ${(pageBytes / 1024).toFixed(0)} KB for each change`,
    cpuShare: (getFittedValue(context, "list page cpu", entries) / utils.msPerSecond) * listPollsPerSecond,
    memoryBytes: pageBytes,
    bytesPerSecond: listPollsPerSecond * notModifiedBytes + changes * pageBytes,
    messagesPerSecond: listPollsPerSecond,
  };
}

function createLimitRow(context: RowContext): CapacityRow {
  const bytes = getFittedValue(context, "demands told", context.size.activeAccounts);
  const intervalS = Math.max(minReportIntervalS, (bytes * context.zonePeers) / maxDemandBytesPerSecond);
  return {
    task: "account limits",
    mechanism:
      "the 32 accounts with the largest demand are added to some of the reports; shares are computed without a round trip",
    formula: `${bytes.toFixed(0)} B to ${context.zonePeers} peers, every ${intervalS.toFixed(1)} s`,
    cpuShare:
      (getFittedValue(context, "demands cpu", context.size.activeAccounts) / utils.msPerSecond) *
      ((context.zonePeers + 1) / intervalS),
    memoryBytes: bytes * (context.zonePeers + 1) * 4,
    bytesPerSecond: (bytes * context.zonePeers) / intervalS,
    messagesPerSecond: 0,
  };
}

function createClaimRow(context: RowContext): CapacityRow {
  const perSecond = context.size.requestsPerSecond * context.size.atMostOnceShare;
  const keys = perSecond * claimsHorizonS;
  return {
    task: "claims",
    mechanism:
      "claims are batched into appends; every node applies all claims; keys older than the horizon are dropped",
    formula: `${perSecond.toFixed(0)} claims/s × ${claimBytes} B read by every node; ${keys.toFixed(0)} keys held`,
    cpuShare: (getLastValue(context, "claims cpu") / 1e6) * perSecond,
    memoryBytes: getUnitCost(context, "claims memory") * keys,
    bytesPerSecond: perSecond * claimBytes,
    messagesPerSecond: 0,
  };
}

function createConfigurationRow(context: RowContext): CapacityRow {
  const perSecond = context.size.changesPerDay / secondsPerDay;
  return {
    task: "configuration fold",
    mechanism:
      "every node projects the same log; only changed objects are updated; peers forward the records",
    formula: `${context.size.changesPerDay} changes a day × ${changeBytes} B, read once and told by peers`,
    cpuShare:
      (getFittedValue(context, "configuration change cpu", context.size.accounts) / utils.msPerSecond) *
      perSecond,
    memoryBytes: getFittedValue(context, "configuration memory", context.size.accounts),
    bytesPerSecond: perSecond * changeBytes * 2,
    messagesPerSecond: perSecond,
  };
}

function createSnapshotRow(context: RowContext): CapacityRow {
  const stateBytes = getFittedValue(context, "state sent to a new node", context.size.accounts);
  const starts = context.size.replacementsPerDay / context.size.nodes / secondsPerDay;
  return {
    task: "snapshots and new nodes",
    mechanism: "one snapshot per quarter of the log retention; a new node receives the state from a peer",
    formula: `${(stateBytes / 1024).toFixed(0)} KB × (${snapshotsPerDay} snapshots a day, and its share of ${context.size.replacementsPerDay} new nodes)`,
    cpuShare: 0,
    memoryBytes: stateBytes,
    bytesPerSecond: stateBytes * (snapshotsPerDay / secondsPerDay + starts),
    messagesPerSecond: 0,
  };
}

function createLeaseRow(context: RowContext): CapacityRow {
  const holders = context.size.availabilityZones;
  const recordBytes = 330;
  return {
    task: "leases and orders",
    mechanism: "one lease per zone, held only while engines are being changed; every node reads the records",
    formula: `at worst ${holders} holders × ${leaseRenewalsPerSecond.toFixed(2)} renewals/s × ${recordBytes} B`,
    cpuShare: 0,
    memoryBytes: holders * 200,
    bytesPerSecond: holders * leaseRenewalsPerSecond * recordBytes,
    messagesPerSecond: holders * leaseRenewalsPerSecond,
  };
}

function createTimelineRow(context: RowContext): CapacityRow {
  const perSecond = (context.size.tokensPerSecond / context.size.nodes) * eventsPerToken;
  return {
    task: "time line",
    mechanism: "one bounded ring buffer per process; sent only on request",
    formula: `${perSecond.toFixed(0)} events/s; ${timelineEvents} events kept`,
    cpuShare: (getLastValue(context, "timeline cpu") / 1e6) * perSecond,
    memoryBytes: getFittedValue(context, "timeline memory", timelineEvents),
    bytesPerSecond: 0,
    messagesPerSecond: 0,
  };
}

/** Returns the value of a figure at the largest measured size, for unit costs that level off. */
function getLastValue({ slopes }: RowContext, figure: string): number {
  const points = slopes.get(figure)?.points ?? [];
  return points[points.length - 1]?.[1] ?? Number.NaN;
}

/** Returns the sum over all control tasks. */
export function sumRows(
  rows: readonly CapacityRow[],
): Pick<CapacityRow, "cpuShare" | "memoryBytes" | "bytesPerSecond"> {
  return {
    cpuShare: utils.getSum(rows.map((row) => row.cpuShare)),
    memoryBytes: utils.getSum(rows.map((row) => row.memoryBytes)),
    bytesPerSecond: utils.getSum(rows.map((row) => row.bytesPerSecond)),
  };
}
