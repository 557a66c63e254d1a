/** `shedtiller key`: makes a key for a client account or the operators, and what is stored of it. */
import { formatTokenHash } from "@shedtiller/entry";
import { createAccountKey } from "@shedtiller/intent";
import { exitCodes, print, type CommonOptions, type ExitCode } from "./CommandContext.js";

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
