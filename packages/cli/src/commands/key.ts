/** `shedtiller key`: creates a key for a client account or the operators, and the hash to be stored. */
import { formatTokenHash } from "@shedtiller/entry";
import { createAccountKey } from "@shedtiller/intent";
import { exitCodes, print, type CommonOptions, type ExitCode } from "./CommandContext.js";

/** Prints a new key in the forms for a client account and for the operators. */
export function runKey(options: CommonOptions): ExitCode {
  const key = createAccountKey();
  const hash = formatTokenHash(key.stored);
  if (options.json === true) print(JSON.stringify({ key: key.text, stored: key.stored, hash }));
  else {
    print(`Key, shown only now: ${key.text}`);
    print(`Stored for a client account: ${JSON.stringify(key.stored)}`);
    print(`Stored for operators: ${hash}`);
  }
  return exitCodes.ok;
}
