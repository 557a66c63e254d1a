/** Guards against a limit on new connections that callers do not cause, or that outlasts the overload. */
import test from "ava";
import { ConnectionLimitPolicy } from "../../requests/ConnectionLimitPolicy.js";

const idlePeer = { leastPeerUtilization: 0.2 };

/** Updates a policy with an instance to which `arriving` connections come in each interval; returns the limits. */
function play(policy: ConnectionLimitPolicy, arriving: number, utilizations: readonly number[]) {
  return utilizations.map((utilization) => {
    const accepted = Math.min(arriving, policy.limit ?? Number.POSITIVE_INFINITY);
    policy.update({ ...idlePeer, utilization, accepted, refused: arriving - accepted });
    return policy.limit;
  });
}

// Guards against an instance that refuses callers for seconds since it reads a large configuration or warms up after its start.
test("a busy process that few connections reach is not limited", (t) => {
  for (const arriving of [0, 1]) {
    const limits = play(new ConnectionLimitPolicy(), arriving, Array<number>(20).fill(1));
    t.true(
      limits.every((limit) => limit === undefined),
      `${arriving} connections`,
    );
  }
});

// Guards against callers that are refused, since a limit ends the connections that they would have kept.
test("a busy process whose callers connect once and keep their connections is not limited", (t) => {
  for (const arriving of [
    [4, 0, 0],
    [0, 8, 0],
    [1, 0, 30],
  ]) {
    const policy = new ConnectionLimitPolicy();
    for (const count of arriving) play(policy, count, [1]);
    t.deepEqual(new Set(play(policy, 0, Array<number>(10).fill(1))), new Set([undefined]), String(arriving));
  }
});

// Guards against a limit that follows from the one interval in which a process that is held up accepts next to nothing.
test("the first limit follows the interval of the overload with the most connections", (t) => {
  const policy = new ConnectionLimitPolicy();
  play(policy, 20, [1]);
  play(policy, 1, [1]);
  t.deepEqual(play(policy, 2, [1]), [14]);
});

// Guards against a limit that refuses callers for seconds at an instance that is idle again.
test("after an overload as many connections as before are accepted within a second and a half, and then the limit ends", (t) => {
  const policy = new ConnectionLimitPolicy();
  play(policy, 10, Array<number>(20).fill(1));
  t.is(policy.limit, 1);
  const limits = play(policy, 10, Array<number>(10).fill(0.3));
  t.true((limits[6] ?? 0) >= 10, String(limits));
  t.is(limits[9], undefined, String(limits));
});

test("the limit stays while connections are refused, and ends at once if all peers are overloaded", (t) => {
  const policy = new ConnectionLimitPolicy();
  const limits = play(policy, 100, [1, 1, 1, ...Array<number>(30).fill(0.9)]);
  t.is(limits.at(-1), 70);
  const state = { utilization: 0.9, accepted: 70, refused: 30 };
  policy.update({ ...state, leastPeerUtilization: 0.9 });
  t.is(policy.limit, 70);
  policy.update({ ...state, leastPeerUtilization: 0.96 });
  t.is(policy.limit, undefined);
});

test("the limit stays for as long as the process is overloaded", (t) => {
  const policy = new ConnectionLimitPolicy();
  play(policy, 10, [1, 1, 1]);
  t.is(play(policy, 0, Array<number>(20).fill(1)).at(-1), 1);
});

// Guards against instances that swing between too many connections and next to none.
test("a process whose load follows its connections settles near its limit of utilization", (t) => {
  const policy = new ConnectionLimitPolicy();
  const capacity = 10;
  let accepted = 30;
  const accepteds: number[] = [];
  for (let interval = 0; interval < 100; interval++) {
    policy.update({
      ...idlePeer,
      utilization: Math.min(1, accepted / capacity),
      accepted,
      refused: 30 - accepted,
    });
    accepted = Math.min(30, policy.limit ?? 30);
    accepteds.push(accepted);
  }
  const settled = accepteds.slice(50);
  t.true(Math.min(...settled) >= capacity / 2, String(settled));
  t.true(Math.max(...settled) <= capacity * 1.5, String(settled));
});
