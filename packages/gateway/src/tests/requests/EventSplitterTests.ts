/** Only whole events leave the splitter, whatever the pieces they come in. */
import test from "ava";
import * as fc from "fast-check";
import { EventSplitter } from "../../requests/EventSplitter.js";

const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\n";

test("any cut of the bytes gives the same events, each whole", (t) => {
  const property = fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 60 }), (sizes) => {
    const splitter = new EventSplitter();
    const passed: string[] = [];
    let lastId: string | undefined;
    let rest = Buffer.from(text);
    for (const size of [...sizes, rest.length]) {
      const whole = splitter.push(rest.subarray(0, size));
      rest = rest.subarray(size);
      if (whole === undefined) continue;
      passed.push(whole.bytes.toString());
      lastId = whole.lastId ?? lastId;
    }
    const areWhole = passed.every((part) => /(\n\n|\r\n\r\n)$/.test(part));
    return areWhole && passed.join("") === text && lastId === "3" && !splitter.hasPartialEvent;
  });
  t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 300 }));
});

test("part of an event is held back", (t) => {
  const splitter = new EventSplitter();
  const whole = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  t.is(whole?.bytes.toString(), "id: 1\ndata: a\n\n");
  t.is(whole?.lastId, "1");
  t.true(splitter.hasPartialEvent);
});
