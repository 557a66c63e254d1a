import test from "ava";
import { NewConnectionLimit } from "../../requests/NewConnectionLimit.js";

test("each time that the limit is set, as many connections are accepted again", (t) => {
  const limit = new NewConnectionLimit();
  const take = (): boolean[] => Array.from({ length: 3 }, () => limit.tryAccept());
  t.deepEqual(take(), [true, true, true]);
  limit.set(2);
  t.deepEqual(take(), [true, true, false]);
  limit.set(1);
  t.deepEqual(take(), [true, false, false]);
  t.deepEqual(limit.takeCounts(), { accepted: 6, refused: 3 });
  t.deepEqual(limit.takeCounts(), { accepted: 0, refused: 0 });
  limit.set(undefined);
  t.deepEqual(take(), [true, true, true]);
});
