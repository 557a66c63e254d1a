/** Tests that configurations are relayed as deltas, and read from the store by instances that lack the previous version. */
import test from "ava";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { listedEndpointSchema } from "../../discovery/ListedEndpoint.js";
import { ConfigurationChangeCodec } from "../../peers/ConfigurationChangeCodec.js";
import { WholeChangeCodec } from "../../peers/WholeChangeCodec.js";
import { createConfiguration, createListed, createRoute } from "../testData.js";

function createCodec(...versions: GatewayConfiguration[]): ConfigurationChangeCodec {
  const activeConfiguration = new ActiveConfiguration(() => 0);
  const codec = new ConfigurationChangeCodec(new ConfigurationHistory(activeConfiguration));
  for (const version of versions) activeConfiguration.accept(version);
  return codec;
}

const first = createConfiguration(1);
const second = createConfiguration(2, [createRoute(), createRoute({ name: "added" })]);

test("a member that has the previous version decodes the change", (t) => {
  const encoded = createCodec(first, second).encode([{ key: "config", value: second }]);
  t.truthy(encoded);
  if (encoded === undefined) return;
  const decoded = createCodec(first).decode(encoded);
  t.deepEqual(decoded, [{ key: "config", value: second }]);
});

test("a member that has another version decodes nothing, and has to read the store", (t) => {
  const encoded = createCodec(first, second).encode([{ key: "config", value: second }]);
  if (encoded === undefined) return t.fail("the change was not encoded");
  t.is(createCodec().decode(encoded), undefined);
  t.is(createCodec(createConfiguration(3)).decode(encoded), undefined);
});

test("a change without a previous version, or of many items, is not encoded", (t) => {
  t.is(createCodec(second).encode([{ key: "config", value: second }]), undefined);
  const many = Array.from({ length: 100 }, (_value, index) => createRoute({ name: `r${index}` }));
  const large = createConfiguration(2, many);
  t.is(createCodec(first, large).encode([{ key: "config", value: large }]), undefined);
});

test("set, removed and unreadable values are relayed unchanged", (t) => {
  const codec = new WholeChangeCodec(listedEndpointSchema);
  const changes = [
    { key: "a", value: createListed("a", { bornAtMs: 7 }), isUnreadable: undefined },
    { key: "b", value: undefined, isUnreadable: undefined },
    { key: "c", value: undefined, isUnreadable: true },
  ];
  const encoded = codec.schema.parse(JSON.parse(JSON.stringify(codec.encode(changes))));
  t.deepEqual(codec.decode(encoded), changes);
});
