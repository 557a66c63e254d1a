import test from "ava";
import { digestRequest, type RequestIdentity } from "../digestRequest.js";

const request: RequestIdentity = {
  method: "POST",
  path: "/a/x?page=2",
  accountName: "farm",
  body: Buffer.from('{"text":"one"}'),
};

test("requests are identical if and only if method, path with query, account and body are the same", (t) => {
  const digest = digestRequest(request);
  t.is(digestRequest({ ...request, body: Buffer.from('{"text":"one"}') }), digest);
  const others: readonly Partial<RequestIdentity>[] = [
    { method: "PUT" },
    { path: "/a/x?page=3" },
    { path: "/a/x" },
    { accountName: "dairy" },
    { accountName: undefined },
    { body: Buffer.from('{"text":"two"}') },
    { body: Buffer.alloc(0) },
  ];
  const digests = new Set(others.map((changes) => digestRequest({ ...request, ...changes })));
  t.is(digests.size, others.length);
  t.false(digests.has(digest));
});

test("the boundary between path and body affects the digest", (t) => {
  const one = digestRequest({ ...request, path: "/a", body: Buffer.from("b") });
  const other = digestRequest({ ...request, path: "/ab", body: Buffer.alloc(0) });
  t.not(one, other);
});
