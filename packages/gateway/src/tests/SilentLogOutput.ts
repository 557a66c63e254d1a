import { LogOutput } from "../logs/LogOutput.js";

/** Discards all log lines. */
export class SilentLogOutput extends LogOutput {
  override isBehind(): boolean {
    return true;
  }
  override write(): void {}
}
