/** The retries of a request count from their sends until no send of the request can arrive any more. */
import test from "ava";
import { RequestSends } from "../../requests/RequestSends.js";
import { RetryPermit } from "../../requests/RetryPermit.js";

function create(): { sends: RequestSends; events: string[] } {
  const events: string[] = [];
  const sends = new RequestSends();
  sends.addRetry(
    new RetryPermit({
      onSent: () => events.push("sent"),
      onOver: () => events.push("over"),
      onReleased: () => events.push("released"),
    }),
  );
  return { sends, events };
}

test("the first send takes no retry, also if it connects after the retry was granted", (t) => {
  const { sends, events } = create();
  sends.noteSent();
  t.deepEqual(events, []);
  sends.noteSent();
  t.deepEqual(events, ["sent"]);
});

// Guards against a first send that arrives after its retry, and is then the one beyond the first that nothing counts.
test("a retry that has arrived counts until the send that it replaced can arrive no longer", (t) => {
  const { sends, events } = create();
  sends.noteSent();
  sends.noteSent();
  sends.noteOver();
  t.deepEqual(events, ["sent"]);
  sends.noteOver();
  t.deepEqual(events, ["sent", "released", "over"]);
});

test("a retry that is not sent returns to the budget", (t) => {
  const { sends, events } = create();
  sends.noteSent();
  sends.noteOver();
  sends.releaseUnsent();
  t.deepEqual(events, ["released"]);
});
