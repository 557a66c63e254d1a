/** Compares requests with and without trials at engines in doubt, in simulated time: where engines fall silent, and where they are dark. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { createListed, profile } from "../testData.js";

const engineCount = 12;
const instanceCount = 4;
const tickMs = 10;
const requestsPerTick = 0.2;
const streamMs = 2_400;
/** Time after which engines that don't answer are suspected by all instances. */
const suspectedAfterMs = 700;
/** Silence after which the caller of a stream without events gets a failure. */
const patienceMs = 1_200;
const silentAtMs = 3_000;
const endMs = 8_000;
const seeds = [1, 2, 3, 4];

interface Silence {
  readonly engines: number;
  readonly durationMs: number;
}

interface Counts {
  served: number;
  refused: number;
  /** Requests that were sent to an engine that was suspected and remained dark. */
  lost: number;
  /** The most requests of an instance that were at such an engine at the same time. */
  mostAtOnce: number;
}

interface Stream {
  readonly reservation: ChainReservation;
  readonly engine: string;
  readonly sentAtMs: number;
  readonly wasSuspect: boolean;
  firstEventAtMs: number | undefined;
}

function simulate(silence: Silence, mayProbe: boolean, seed: number): Counts {
  const random = new utils.RandomSource(seed);
  // Choices don't change the arrivals.
  const choiceRandom = new utils.RandomSource(seed + seeds.length);
  const counts: Counts = { served: 0, refused: 0, lost: 0, mostAtOnce: 0 };
  let nowMs = 0;
  const ids = Array.from({ length: engineCount }, (_, index) => `e${index}`);
  const layers = [{ start: 0, end: profile.layerCount }];
  const instances = Array.from({ length: instanceCount }, () => {
    const table = new EndpointTable(() => nowMs);
    table.setAll(new Map(ids.map((id) => [id, createListed(id, { layers, address: `${id}:1` })])));
    return {
      table,
      chooser: new ChainChooser(
        () => nowMs,
        () => choiceRandom.nextUnit(),
      ),
      streams: new Set<Stream>(),
    };
  });
  const isSilent = (id: string): boolean =>
    ids.indexOf(id) < silence.engines && nowMs >= silentAtMs && nowMs < silentAtMs + silence.durationMs;
  const end = (instance: (typeof instances)[number], stream: Stream): void => {
    stream.reservation.release();
    instance.streams.delete(stream);
  };
  for (; nowMs < endMs; nowMs += tickMs) {
    for (const instance of instances) {
      const { table, chooser, streams } = instance;
      if (nowMs === silentAtMs + suspectedAfterMs)
        for (const id of ids) if (isSilent(id)) table.suspect(id, "unanswered");
      for (const stream of streams) {
        const { engine, sentAtMs, firstEventAtMs, wasSuspect, reservation } = stream;
        if (firstEventAtMs !== undefined && nowMs - firstEventAtMs >= streamMs) end(instance, stream);
        else if (firstEventAtMs === undefined && !isSilent(engine)) {
          stream.firstEventAtMs = nowMs;
          counts.served += 1;
          reservation.notePromptRead();
        } else if (firstEventAtMs === undefined && nowMs - sentAtMs >= patienceMs) {
          if (wasSuspect) counts.lost += 1;
          end(instance, stream);
        }
        if (!isSilent(engine)) {
          const endpoint = table.get(engine);
          if (endpoint !== undefined) endpoint.heardAtMs = nowMs;
        }
      }
      if (random.nextUnit() >= requestsPerTick / instanceCount) continue;
      const demand = { promptTokens: 4, answerTokens: 2, availabilityZone: "east", mayProbe };
      const chain = chooser.choose(table.getUsable("engines"), profile, demand);
      const engine = chain?.[0]?.endpointId;
      if (chain === undefined || engine === undefined) {
        counts.refused += 1;
        continue;
      }
      const wasSuspect = table.get(engine)?.isSuspect(nowMs) === true && isSilent(engine);
      const reservation = new ChainReservation(table, chain, 6);
      streams.add({ reservation, engine, sentAtMs: nowMs, wasSuspect, firstEventAtMs: undefined });
      const atOnce = [...streams].filter((stream) => stream.engine === engine && stream.wasSuspect).length;
      counts.mostAtOnce = Math.max(counts.mostAtOnce, atOnce);
    }
  }
  return counts;
}

function sumUp(silence: Silence, mayProbe: boolean): Counts {
  const all = seeds.map((seed) => simulate(silence, mayProbe, seed));
  const sum = (getValue: (counts: Counts) => number): number => utils.getSum(all.map(getValue));
  return {
    served: sum(({ served }) => served),
    refused: sum(({ refused }) => refused),
    lost: sum(({ lost }) => lost),
    mostAtOnce: Math.max(...all.map(({ mostAtOnce }) => mostAtOnce)),
  };
}

// Guards against refusals that last as long as the suspicions of all engines, which were silent for a moment only.
test("of the requests during a silence of all engines, less than half as many are refused with trials", (t) => {
  const silence = { engines: engineCount, durationMs: 1_500 };
  const [without, trials] = [sumUp(silence, false), sumUp(silence, true)];
  t.true(trials.refused < without.refused / 2);
  t.true(trials.served > without.served);
  t.is(trials.mostAtOnce, 1);
});

// Guards against dead engines that attract requests.
test("if a part of the engines is dark for good, nothing is sent to them after their suspicion", (t) => {
  for (const engines of [1, engineCount / 3, engineCount / 2]) {
    const silence = { engines, durationMs: Infinity };
    const [without, trials] = [sumUp(silence, false), sumUp(silence, true)];
    t.deepEqual(trials, without);
    t.is(trials.lost, 0);
  }
});

test("if most engines are dark for good, as many requests are served, and each dark engine gets one at a time", (t) => {
  const silence = { engines: engineCount - 2, durationMs: Infinity };
  const [without, trials] = [sumUp(silence, false), sumUp(silence, true)];
  t.true(trials.served >= without.served);
  t.true(trials.mostAtOnce <= 1);
});
