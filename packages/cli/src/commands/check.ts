/** `shedtiller check FILE`: checks a settings file as a whole. */
import { loadSettings } from "@shedtiller/settings";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";

export function runCheck(file: string, options: CommonOptions): ExitCode {
  const settings = loadSettings(file);
  const faults = settings.ok
    ? []
    : settings.val.faults.map((fault) => ({ place: fault.place, reason: fault.reason }));
  if (options.json === true) print(JSON.stringify({ file, faults }));
  else if (settings.ok) print(`${file} is in order.`);
  else printError(settings.val.message);
  return settings.ok ? exitCodes.ok : exitCodes.no;
}
