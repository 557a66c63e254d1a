/** Versions never go back, and a proof of freshness is worth what it proves. */
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { RouteTable } from "../../configuration/RouteTable.js";
import { createConfiguration, createRoute } from "../testData.js";

test("an older version is not taken", (t) => {
  const keeper = new ActiveConfiguration(() => 0);
  t.true(keeper.accept(createConfiguration(5)));
  t.false(keeper.accept(createConfiguration(4)));
  t.false(keeper.accept(createConfiguration(5)));
  t.is(keeper.version, 5);
});

test("a proof counts from its question and only for the version in force", (t) => {
  let nowMs = 1_000;
  const keeper = new ActiveConfiguration(() => nowMs);
  t.is(keeper.getFreshnessAgeMs(), Number.POSITIVE_INFINITY);
  keeper.accept(createConfiguration(5));
  keeper.confirmFreshness(4, 900);
  t.is(keeper.getFreshnessAgeMs(), Number.POSITIVE_INFINITY);
  keeper.confirmFreshness(5, 900);
  nowMs = 2_000;
  t.is(keeper.getFreshnessAgeMs(), 1_100);
  keeper.confirmFreshness(5, 100);
  t.is(keeper.getFreshnessAgeMs(), 1_100, "an older proof takes nothing away");
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

test("a key that was taken away is unknown in the next version", (t) => {
  const before = new RouteTable(createConfiguration(1));
  const after = new RouteTable({ ...createConfiguration(2), accounts: [{ name: "farm", apiKeys: [] }] });
  t.is(before.getAccount("k1")?.name, "farm");
  t.is(after.getAccount("k1"), undefined);
});
