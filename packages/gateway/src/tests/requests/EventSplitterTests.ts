/** The splitter returns only complete events, wherever the byte stream is split. */
import test from "ava";
import * as fc from "fast-check";
import { EventSplitter } from "../../requests/EventSplitter.js";

const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\n";

test("any split of the bytes gives the same complete events", (t) => {
  const property = fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 60 }), (sizes) => {
    const splitter = new EventSplitter();
    const chunks: string[] = [];
    let lastId: string | undefined;
    let remaining = Buffer.from(text);
    for (const size of [...sizes, remaining.length]) {
      const events = splitter.push(remaining.subarray(0, size));
      remaining = remaining.subarray(size);
      if (events === undefined) continue;
      chunks.push(events.bytes.toString());
      lastId = events.lastId ?? lastId;
    }
    const areComplete = chunks.every((chunk) => /(\n\n|\r\n\r\n)$/.test(chunk));
    return areComplete && chunks.join("") === text && lastId === "3" && !splitter.hasPartialEvent;
  });
  t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 300 }));
});

test("an incomplete event is buffered", (t) => {
  const splitter = new EventSplitter();
  const events = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  t.is(events?.bytes.toString(), "id: 1\ndata: a\n\n");
  t.is(events?.lastId, "1");
  t.true(splitter.hasPartialEvent);
});
