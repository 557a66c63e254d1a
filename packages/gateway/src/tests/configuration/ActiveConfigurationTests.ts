/** Tests that versions never decrease, that freshness is confirmed only for the version in force, and look-ups of routes and keys. */
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { RouteTable } from "../../configuration/RouteTable.js";
import { createConfiguration, createRoute } from "../testData.js";

test("an older version is not accepted", (t) => {
  const activeConfiguration = new ActiveConfiguration(() => 0);
  t.true(activeConfiguration.accept(createConfiguration(5)));
  t.false(activeConfiguration.accept(createConfiguration(4)));
  t.false(activeConfiguration.accept(createConfiguration(5)));
  t.is(activeConfiguration.version, 5);
});

test("freshness counts from the time of the request, and only for the version in force", (t) => {
  let nowMs = 1_000;
  const activeConfiguration = new ActiveConfiguration(() => nowMs);
  t.is(activeConfiguration.getFreshnessAgeMs(), Number.POSITIVE_INFINITY);
  activeConfiguration.accept(createConfiguration(5));
  activeConfiguration.confirmFreshness(4, 900);
  t.is(activeConfiguration.getFreshnessAgeMs(), Number.POSITIVE_INFINITY);
  activeConfiguration.confirmFreshness(5, 900);
  nowMs = 2_000;
  t.is(activeConfiguration.getFreshnessAgeMs(), 1_100);
  activeConfiguration.confirmFreshness(5, 100);
  t.is(activeConfiguration.getFreshnessAgeMs(), 1_100, "an older confirmation changes nothing");
});

test("the longest prefix of the host wins, whatever the query", (t) => {
  const routes = [
    createRoute({ name: "short", pathPrefix: "/a/" }),
    createRoute({ name: "long", pathPrefix: "/a/b/" }),
  ];
  const table = new RouteTable(createConfiguration(1, routes));
  t.is(table.getRoute("notes.example", "/a/b/c?x=/a/")?.name, "long");
  t.is(table.getRoute("NOTES.example", "/a/bc")?.name, "short");
  t.is(table.getRoute("notes.example", "/b/a/"), undefined);
  t.is(table.getRoute("other.example", "/a/b"), undefined);
  t.is(table.getRoute("notes.example", "/a"), undefined);
});

test("a revoked key is unknown in the next version", (t) => {
  const before = new RouteTable(createConfiguration(1));
  const after = new RouteTable({ ...createConfiguration(2), accounts: [{ name: "farm", apiKeys: [] }] });
  t.is(before.getAccount("k1")?.name, "farm");
  t.is(after.getAccount("k1"), undefined);
});
