/** `shedtiller check FILE`: checks a settings file as a whole. */
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
  /** The daemon that the file is for; by its sections where left out. */
  readonly daemon?: string;
}

/** Only a gateway reads the platform's store. */
const gatewaySectionPattern = /^\s*\[store\]\s*$/m;
/** The reason of a fault that is about a name and not about its value. */
const unknownNamePattern = /^is not a known name/;
/** Filled in by the platform at each start of a process. */
const placeholderPattern = /\{\{.*\}\}/;

const loaders: Readonly<Record<Daemon, (file: string) => results.Result<unknown, SettingsError>>> = {
  entry: loadSettings,
  gateway: loadGatewaySettings,
};

export function runCheck(file: string, options: CheckOptions): ExitCode {
  const text = readText(file);
  const daemon = options.daemon ?? (gatewaySectionPattern.test(text) ? "gateway" : "entry");
  if (!isDaemon(daemon)) {
    printError(`${daemon} is no daemon; known are ${daemons.join(" and ")}.`);
    return exitCodes.unusable;
  }
  const loaded = loaders[daemon](file);
  const faults = loaded.ok ? [] : loaded.val.faults.filter((fault) => !isPlaceholderFault(fault, text, file));
  if (options.json === true) {
    print(JSON.stringify({ file, daemon, faults: faults.map(({ place, reason }) => ({ place, reason })) }));
  } else if (faults.length === 0) print(`${file} is in order (${daemon}).`);
  else printError(faults.map((fault) => fault.message).join("\n"));
  return faults.length === 0 ? exitCodes.ok : exitCodes.no;
}

function isDaemon(name: string): name is Daemon {
  return daemons.some((daemon) => daemon === name);
}

/** The loaders say why a file can't be read. */
function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch {
    return "";
  }
}

/** Whether a fault is only that a value is a placeholder of a template; a name is never filled in. */
function isPlaceholderFault(fault: errors.InvalidInputError, text: string, file: string): boolean {
  if (unknownNamePattern.test(fault.reason)) return false;
  const place = fault.place.slice(file.length);
  const line = /^:(\d+):/.exec(place)?.[1];
  return line !== undefined && placeholderPattern.test(text.split("\n")[Number(line) - 1] ?? "");
}
