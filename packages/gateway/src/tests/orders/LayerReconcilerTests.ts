/** Tests that engines which can't be reached do not keep the others of their zone from getting orders. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LayerReconciler } from "../../orders/LayerReconciler.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createConfiguration, createListed, profile } from "../testData.js";

const timeoutMs = 30_000;

/** Runs a reconciler for a zone until `isDone` returns true, and returns whether it did; engines named `gone…` never answer, and those named `emptied…` hold none of the listed layers. */
async function reconcile(
  engines: readonly ListedEndpoint[],
  isDone: (orders: FakeEngines) => boolean,
): Promise<boolean> {
  const activeConfiguration = new ActiveConfiguration();
  const services = [{ name: "engines", healthPath: "/healthz", maxConnections: 8, engine: profile }];
  activeConfiguration.accept({ ...createConfiguration(1), services });
  const orders = new FakeEngines();
  for (const { id, layers } of engines) {
    if (id.startsWith("gone")) orders.silent.add(id);
    else orders.reports.set(id, { layers: id.startsWith("emptied") ? [] : layers });
  }
  const endpoints = new EndpointTable();
  const reconciler = new LayerReconciler({
    activeConfiguration,
    endpoints,
    orders,
    log: new DecisionLog(new SilentLogOutput(), utils.monotonicMs),
    areFirstEnginesEqualized: false,
    mayOrder: () => true,
  });
  endpoints.setAll(new Map(engines.map((listed) => [listed.id, listed])));
  const end = new AbortController();
  const running = reconciler.run(end.signal);
  const isDoneInTime = await utils.waitUntil(() => isDone(orders), timeoutMs);
  end.abort();
  await running;
  return isDoneInTime;
}

/** An engine that has the first half of the layers, and no memory for more. */
const half = createListed("half", { layers: [{ start: 0, end: 2 }] });
const empty = createListed("empty", { kind: "slow" });

// Guards against a leader that orders layers for an engine that nobody reaches each second, and for no other.
test("an engine that nobody reaches, and that no request has made suspect, does not keep an empty engine from getting its layers", async (t) => {
  const gone = createListed("gone");
  t.true(await reconcile([half, gone, empty], ({ ordered }) => ordered.includes("empty")));
});

// Guards against a zone that stays broken for as long as the list contains more engines that are gone than others.
test("an empty engine gets layers although most of the listed engines of its zone can't be reached", async (t) => {
  const gone = ["gone-1", "gone-2", "gone-3"].map((id) => createListed(id));
  t.true(await reconcile([half, ...gone, empty], ({ ordered }) => ordered.includes("empty")));
});

// Guards against a zone that stays broken since an instance that was told an older state of an engine keeps it, and orders nothing.
test("an engine that keeps reporting other layers than those in the list gets orders by its reports", async (t) => {
  const emptied = createListed("emptied", { layers: [{ start: 0, end: 1 }] });
  t.true(await reconcile([half, emptied], ({ ordered }) => ordered.includes("emptied")));
});
