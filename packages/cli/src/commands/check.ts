/** `shedtiller check`: checks a settings file and reports all its faults. */
import * as fs from "node:fs";
import type { errors, results } from "@shedtiller/common";
import { loadGatewaySettings } from "@shedtiller/gateway";
import { loadSettings, type SettingsError } from "@shedtiller/settings";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";

/** The daemons that have settings files. */
const daemons = ["entry", "gateway"] as const;
type Daemon = (typeof daemons)[number];

/** Options of the command. */
export interface CheckOptions extends CommonOptions {
  /** The daemon that the file is for; by default it is derived from the file's sections. */
  readonly daemon?: string;
}

/** Matches the section that only a gateway's settings have, since only gateways read the platform's store. */
const gatewaySectionPattern = /^\s*\[store\]\s*$/m;
/** Matches the reason of a fault in the name of a section or key, rather than in a value. */
const unknownNamePattern = /^is not a known name/;
/** Matches a placeholder that the platform replaces by a value at each start of a process. */
const placeholderPattern = /\{\{.*\}\}/;

const loaders: Readonly<Record<Daemon, (file: string) => results.Result<unknown, SettingsError>>> = {
  entry: loadSettings,
  gateway: loadGatewaySettings,
};

/** Prints the faults of a settings file. */
export function runCheck(file: string, options: CheckOptions): ExitCode {
  const text = readText(file);
  const daemon = options.daemon ?? (gatewaySectionPattern.test(text) ? "gateway" : "entry");
  if (!isDaemon(daemon)) {
    printError(`Unknown daemon ${daemon}; expected ${daemons.join(" or ")}.`);
    return exitCodes.error;
  }
  const loaded = loaders[daemon](file);
  const faults = loaded.ok ? [] : loaded.val.faults.filter((fault) => !isPlaceholderFault(fault, text, file));
  if (options.json === true) {
    print(JSON.stringify({ file, daemon, faults: faults.map(({ place, reason }) => ({ place, reason })) }));
  } else if (faults.length === 0) print(`${file} is valid (${daemon}).`);
  else printError(faults.map((fault) => fault.message).join("\n"));
  return faults.length === 0 ? exitCodes.ok : exitCodes.negativeResult;
}

function isDaemon(name: string): name is Daemon {
  return daemons.some((daemon) => daemon === name);
}

/** Returns the text of a file, or an empty text if it can't be read, which the loader reports. */
function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch {
    return "";
  }
}

/** Returns whether a fault is caused only by a placeholder for a value in a template. Names are never placeholders. */
function isPlaceholderFault(fault: errors.InvalidInputError, text: string, file: string): boolean {
  if (unknownNamePattern.test(fault.reason)) return false;
  const place = fault.place.slice(file.length);
  const line = /^:(\d+):/.exec(place)?.[1];
  return line !== undefined && placeholderPattern.test(text.split("\n")[Number(line) - 1] ?? "");
}
