/** Daemon that runs one entry instance from a settings file. */
import { loadSettings } from "@shedtiller/settings";
import { composeEntry } from "../composeEntry.js";
import { EntryInstance } from "../EntryInstance.js";
import { loadSecrets } from "../secrets.js";

const startFailedStatus = 2;
const abortedStatus = 1;

function fail(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(startFailedStatus);
}

function getSettingsFile(args: readonly string[]): string {
  const [flag, file, ...rest] = args;
  if (flag === "--settings" && file !== undefined && rest.length === 0) return file;
  return fail("Usage: shedtillerd --settings FILE.ini");
}

async function main(): Promise<void> {
  const settings = loadSettings(getSettingsFile(process.argv.slice(2)));
  if (settings.err) return fail(settings.val.message);
  const secrets = loadSecrets(settings.val, process.env);
  if (secrets.err) return fail(secrets.val.message);
  const instance = composeEntry(settings.val, secrets.val).get(EntryInstance);
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return instance.abortInFlightRequests();
    isStopping = true;
    void instance
      .drain()
      .then((report) => process.exit(report.abortedRequestIds.length === 0 ? 0 : abortedStatus));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => instance.reloadCertificates());
  await instance.start();
}

await main();
