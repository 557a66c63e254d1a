/** Configurations are told as what changes, and read whole by those that do not have the version before. */
import test from "ava";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { listedEndpointSchema } from "../../discovery/ListedEndpoint.js";
import { ConfigurationChangeCodec, WholeChangeCodec } from "../../peers/ChangeCodec.js";
import { createConfiguration, createListed, createRoute } from "../testData.js";

function create(...versions: GatewayConfiguration[]): ConfigurationChangeCodec {
  const keeper = new ActiveConfiguration(() => 0);
  const changes = new ConfigurationChangeCodec(new ConfigurationHistory(keeper));
  for (const version of versions) keeper.accept(version);
  return changes;
}

const first = createConfiguration(1);
const second = createConfiguration(2, [createRoute(), createRoute({ name: "added" })]);

test("a member that has the version before takes the change", (t) => {
  const told = create(first, second).encode([{ key: "config", value: second }]);
  t.truthy(told);
  if (told === undefined) return;
  const taken = create(first).decode(told);
  t.deepEqual(taken, [{ key: "config", value: second }]);
});

test("a member that has another version takes nothing, and has to read", (t) => {
  const told = create(first, second).encode([{ key: "config", value: second }]);
  if (told === undefined) return t.fail("nothing was told");
  t.is(create().decode(told), undefined);
  t.is(create(createConfiguration(3)).decode(told), undefined);
});

test("a reader that has no version before, and a change of many parts, tell only the fact", (t) => {
  t.is(create(second).encode([{ key: "config", value: second }]), undefined);
  const many = Array.from({ length: 100 }, (_value, index) => createRoute({ name: `r${index}` }));
  const large = createConfiguration(2, many);
  t.is(create(first, large).encode([{ key: "config", value: large }]), undefined);
});

test("members hear of entries, drops and entries that can't be read as the reader does", (t) => {
  const relayed = new WholeChangeCodec(listedEndpointSchema);
  const changes = [
    { key: "a", value: createListed("a", { bornAtMs: 7 }), isUnreadable: undefined },
    { key: "b", value: undefined, isUnreadable: undefined },
    { key: "c", value: undefined, isUnreadable: true },
  ];
  const told = relayed.schema.parse(JSON.parse(JSON.stringify(relayed.encode(changes))));
  t.deepEqual(relayed.decode(told), changes);
});
