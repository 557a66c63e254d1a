/** Choice of the engines that are asked about silent streams. */
import test from "ava";
import { utils } from "@shedtiller/common";
import {
  pickQuestions,
  type QuestionQuery,
  type WatchedStream,
} from "../../../requests/moves/pickQuestions.js";

const nowMs = 10_000;
const limitMs = 100;

function createStream(endpointIds: readonly string[], silenceMs: number): WatchedStream {
  return { endpointIds, lastEventAtMs: nowMs - silenceMs, limitMs, hasPassedChain: true };
}

function pick(streams: readonly WatchedStream[], changes: Partial<QuestionQuery> = {}): string[] {
  const source = new utils.RandomSource(3);
  const random = (): number => source.nextUnit();
  return pickQuestions({ nowMs, streams, askedAtMs: new Map(), isKnown: () => false, random, ...changes });
}

test("the engines of most silent streams are asked first, and at most two at a time", (t) => {
  const streams = [
    createStream(["a", "b", "c", "shared"], 100),
    createStream(["d", "e", "f", "shared"], 120),
    createStream(["g"], 99),
  ];
  const picked = pick(streams);
  t.is(picked.length, 2);
  t.is(picked[0], "shared");
  t.false(picked.includes("g"));
});

test("instances draw different engines of equal chains", (t) => {
  const chain = Array.from({ length: 12 }, (_, index) => `e${index}`);
  const first = pick([createStream(chain, 100)], { random: () => 0.5 });
  const source = new utils.RandomSource(4);
  const second = pick([createStream(chain, 100)], { random: () => source.nextUnit() });
  t.notDeepEqual(first, second);
});

test("an event that may have passed an engine before its loss does not vouch for the engine", (t) => {
  t.deepEqual(pick([createStream(["a"], 100), createStream(["a"], 60)]), ["a"]);
  t.deepEqual(pick([createStream(["a"], 100), createStream(["a"], 40)]), []);
});

test("a stream that was just sent or moved vouches for no engine", (t) => {
  const moved = { ...createStream(["a"], 10), hasPassedChain: false };
  t.deepEqual(pick([createStream(["a"], 100), moved]), ["a"]);
});

test("an engine is asked once in a silence, and not more often than every 300 ms", (t) => {
  const asked = (ageMs: number): Partial<QuestionQuery> => ({ askedAtMs: new Map([["a", nowMs - ageMs]]) });
  t.deepEqual(pick([createStream(["a"], 350)], asked(310)), []);
  t.deepEqual(pick([createStream(["a"], 100)], asked(200)), []);
  t.deepEqual(pick([createStream(["a"], 100)], asked(300)), ["a"]);
});

test("a stream that has been silent for long is left to the report of its first engine", (t) => {
  t.deepEqual(pick([createStream(["a"], 399)]), ["a"]);
  t.deepEqual(pick([createStream(["a"], 400)]), []);
});

test("an engine that is known to be at fault is not asked", (t) => {
  t.deepEqual(pick([createStream(["a", "b"], 100)], { isKnown: (id) => id === "a" }), ["b"]);
});
